#include "agents/run_tracker.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace sequoiaroute::agents {

namespace {

constexpr core::duration retry_after_silence{20};
constexpr core::duration retry_after_refusal{150};
/// An executor that does not take a start so often is reported as refusing.
constexpr std::int32_t refusals_before_report = 8;

} // namespace

void run_tracker::put(jobs::run_order order, bool may_be_sent)
{
    auto const run = order.run;
    auto const [found, is_new] = runs_.try_emplace(run);
    found->second.order = std::move(order);
    if (is_new) {
        found->second.may_be_sent = may_be_sent;
        found->second.awaits_lists = may_be_sent;
    }
}

void run_tracker::remove(jobs::run_id const& run)
{
    runs_.erase(run);
}

void run_tracker::restore_end(jobs::ended_task ended)
{
    auto const found = runs_.find(ended.run);
    if (found != runs_.end() && !found->second.ended)
        found->second.ended = std::move(ended);
}

void run_tracker::set_executor(jobs::worker_description const& worker)
{
    worker_ = worker;
}

void run_tracker::end(entry& target, jobs::run_end how, std::string checkpoint)
{
    target.ended =
        jobs::ended_task{target.order.run, how, std::move(checkpoint)};
    target.running.reset();
    ++end_count_;
    if (target.order.is_urgent || target.order.is_to_stop)
        ++awaited_end_count_;
}

bool run_tracker::wants_stop(entry const& target) const
{
    return target.order.is_to_stop || target.is_to_bar;
}

void run_tracker::receive(executor_snapshot const& lists,
                          core::time_point asked_at)
{
    std::set<jobs::run_id> listed;
    unordered_.clear();
    for (auto const& item : lists.ended) {
        listed.insert(item.task.run);
        auto const found = runs_.find(item.task.run);
        if (found != runs_.end() && !found->second.ended)
            end(found->second, item.task.end, item.task.checkpoint);
    }
    for (auto const& task : lists.running) {
        listed.insert(task.run);
        auto const found = runs_.find(task.run);
        if (found == runs_.end()) {
            unordered_.push_back(task.run);
            continue;
        }
        found->second.running = task;
        found->second.may_be_sent = true;
    }
    if (lists.born_ms != worker_.executor.born_ms)
        return;
    for (auto& [run, target] : runs_) {
        target.awaits_lists = false;
        if (target.ended || listed.contains(run))
            continue;
        target.running.reset();
        if (target.stopped_at && *target.stopped_at <= asked_at) {
            end(target,
                target.is_to_bar ? jobs::run_end::refused
                                 : jobs::run_end::stopped,
                {});
        } else if (target.started_at && *target.started_at <= asked_at) {
            // The executor neither runs it nor lists its end.
            target.started_at.reset();
        }
    }
}

std::vector<run_tracker::action> run_tracker::next_actions(core::time_point now,
                                                           bool may_start)
{
    std::vector<action> actions;
    has_held_start_ = false;
    for (auto& [run, target] : runs_) {
        if (target.ended || target.is_under_way || now < target.retry_at)
            continue;
        auto const& wanted = target.order.executor;
        auto const& present = worker_.executor;
        if (wanted != present) {
            if (present.replaces(wanted))
                end(target, jobs::run_end::lost, {});
            continue;
        }
        if (target.awaits_lists)
            continue;
        bool const is_ready = worker_.state == jobs::worker_state::ready;
        if (wants_stop(target) || (!is_ready && !target.may_be_sent)) {
            if (!target.may_be_sent) {
                end(target,
                    wants_stop(target) ? jobs::run_end::stopped
                                       : jobs::run_end::refused,
                    {});
            } else if (!target.stopped_at) {
                target.is_under_way = true;
                actions.push_back({action::kind::stop, target.order});
            }
            continue;
        }
        if (target.started_at || target.running || !is_ready)
            continue;
        if (!may_start) {
            has_held_start_ = true;
            continue;
        }
        target.is_under_way = true;
        target.may_be_sent = true;
        actions.push_back({action::kind::start, target.order});
    }
    return actions;
}

void run_tracker::receive_answer(action const& sent, order_reply const& reply,
                                 core::time_point now)
{
    auto const found = runs_.find(sent.order.run);
    if (found == runs_.end())
        return;
    auto& target = found->second;
    target.is_under_way = false;
    if (target.ended)
        return;
    if (sent.what == action::kind::start)
        return receive_start_answer(target, reply, now);
    if (reply.outcome == order_outcome::done)
        target.stopped_at = now;
    else
        target.retry_at = now + retry_after_refusal;
}

void run_tracker::receive_start_answer(entry& target, order_reply const& reply,
                                       core::time_point now)
{
    switch (reply.outcome) {
    case order_outcome::done:
        target.started_at = now;
        return;
    case order_outcome::too_late:
        target.retry_at = now;
        return;
    case order_outcome::unknown:
        target.retry_at = now + retry_after_silence;
        return;
    case order_outcome::wrong_executor:
    case order_outcome::not_reached:
    case order_outcome::busy:
        target.retry_at = now + retry_after_refusal;
        if (++target.refusals < refusals_before_report)
            return;
        break;
    case order_outcome::refused:
        break;
    }
    target.is_to_bar = true;
}

std::optional<jobs::incarnation> run_tracker::newest_executor() const
{
    std::optional<jobs::incarnation> newest;
    for (auto const& [run, target] : runs_) {
        if (!newest || target.order.executor.replaces(*newest))
            newest = target.order.executor;
    }
    return newest;
}

bool run_tracker::needs_lists() const
{
    return has_held_start_ ||
           std::any_of(runs_.begin(), runs_.end(), [](auto const& item) {
               auto const& target = item.second;
               return !target.ended &&
                      (target.awaits_lists || target.stopped_at);
           });
}

std::vector<jobs::running_task> run_tracker::running() const
{
    std::vector<jobs::running_task> result;
    for (auto const& [run, target] : runs_) {
        if (target.running && !target.ended)
            result.push_back(*target.running);
    }
    return result;
}

std::vector<filler_throttle::subject> run_tracker::pace_subjects() const
{
    std::vector<filler_throttle::subject> subjects;
    for (auto const& [run, target] : runs_) {
        if (!target.running || target.ended)
            continue;
        subjects.push_back({run, target.order.is_filler,
                            target.order.response_target,
                            target.running->response_time});
    }
    return subjects;
}

std::vector<jobs::ended_task> run_tracker::ended() const
{
    std::vector<jobs::ended_task> result;
    for (auto const& [run, target] : runs_) {
        if (target.ended)
            result.push_back(*target.ended);
    }
    return result;
}

} // namespace sequoiaroute::agents
