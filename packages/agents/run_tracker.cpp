#include "agents/run_tracker.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace sequoiaroute::agents {

namespace {

constexpr core::duration timeout_retry_delay{20};
constexpr core::duration refusal_retry_delay{150};
/// After this many failed starts, the run is reported as refused.
constexpr std::int32_t max_failed_starts = 8;

} // namespace

void run_tracker::put_order(jobs::run_order order, bool may_have_started)
{
    auto const run = order.run;
    auto const [found, is_new] = runs_.try_emplace(run);
    found->second.order = std::move(order);
    if (found->second.order.session.empty())
        found->second.order.session = session_;
    if (is_new) {
        // What became of an earlier process's start is unknown.
        found->second.may_have_started = may_have_started;
        found->second.has_unanswered_start = may_have_started;
        found->second.awaits_snapshot = may_have_started;
    }
}

void run_tracker::remove_order(jobs::run_id const& run)
{
    auto const removed = runs_.extract(run);
    if (removed.empty())
        return;
    auto const& tracked = removed.mapped();
    if (tracked.may_have_started && !tracked.ended)
        runs_without_order_.push_back(run);
}

void run_tracker::restore_end(jobs::ended_run ended)
{
    auto const found = runs_.find(ended.run);
    if (found != runs_.end() && !found->second.is_end_listed)
        found->second.ended = std::move(ended);
}

void run_tracker::set_session(std::string session)
{
    session_ = std::move(session);
    for (auto& [run, tracked] : runs_) {
        if (!tracked.ended && !tracked.may_have_started && is_outdated(tracked))
            end(tracked, jobs::run_end::stopped, {});
    }
}

void run_tracker::set_executor(jobs::worker_description const& worker)
{
    if (worker.executor != worker_.executor) {
        record_ended_incarnation(worker.executor);
        ends_without_order_.clear();
        runs_without_order_.clear();
        for (auto& [run, tracked] : runs_) {
            tracked.running.reset();
            tracked.stop_confirmed_at.reset();
            tracked.unknown_since.reset();
        }
    }
    worker_ = worker;
}

/// Those that the successor replaces need not be kept: its start time shows
/// that they have ended while it is current, and afterwards it is kept itself.
void run_tracker::record_ended_incarnation(jobs::incarnation const& successor)
{
    ended_incarnations_.insert(worker_.executor);
    std::erase_if(ended_incarnations_, [&](auto const& ended) {
        return ended == successor || successor.replaces(ended);
    });
}

void run_tracker::end(tracked_run& tracked, jobs::run_end end_kind,
                      std::string checkpoint)
{
    tracked.ended =
        jobs::ended_run{tracked.order.run, end_kind, std::move(checkpoint)};
    tracked.running.reset();
    ++end_count_;
    if (tracked.order.is_urgent || tracked.order.is_stop_requested)
        ++urgent_end_count_;
}

bool run_tracker::is_outdated(tracked_run const& tracked) const
{
    return tracked.order.session != session_ && !tracked.running;
}

bool run_tracker::needs_stop(tracked_run const& tracked) const
{
    return tracked.order.is_stop_requested || tracked.is_start_abandoned ||
           tracked.has_expired || is_outdated(tracked);
}

bool run_tracker::awaits_start(tracked_run const& tracked)
{
    return !tracked.ended && !tracked.running && !tracked.start_confirmed_at &&
           !tracked.is_call_pending && !tracked.awaits_snapshot;
}

std::vector<jobs::run_id> run_tracker::expire_orders(core::duration store_time)
{
    std::vector<jobs::run_id> expired;
    for (auto& [run, tracked] : runs_) {
        auto const deadline = tracked.order.start_deadline;
        if (deadline == core::duration(0) || store_time <= deadline ||
            needs_stop(tracked) || !awaits_start(tracked))
            continue;
        tracked.has_expired = true;
        expired.push_back(run);
    }
    return expired;
}

void run_tracker::receive_snapshot(executor_snapshot const& snapshot,
                                   core::time_point requested_at)
{
    std::set<jobs::run_id> listed;
    runs_without_order_.clear();
    ends_without_order_.clear();
    for (auto const& item : snapshot.ended) {
        listed.insert(item.task.run);
        auto const found = runs_.find(item.task.run);
        if (found == runs_.end()) {
            ends_without_order_.push_back(item.task);
        } else if (!found->second.ended) {
            end(found->second, item.task.end, item.task.checkpoint);
            found->second.is_end_listed = true;
        }
    }
    for (auto const& task : snapshot.running) {
        listed.insert(task.run);
        auto const found = runs_.find(task.run);
        if (found == runs_.end() || found->second.ended) {
            runs_without_order_.push_back(task.run);
            continue;
        }
        found->second.running = task;
        found->second.may_have_started = true;
        found->second.was_listed =
            found->second.was_listed || !is_replaced(found->second);
    }
    if (snapshot.born_ms != worker_.executor.born_ms)
        return;
    record_unknown_incarnations(requested_at);
    for (auto& [run, tracked] : runs_) {
        bool const is_listed = listed.contains(run);
        if (is_listed || snapshot.has_all_ends)
            tracked.awaits_snapshot = false;
        if (tracked.ended || is_listed)
            continue;
        tracked.running.reset();
        if (!snapshot.has_all_ends)
            continue;
        if (tracked.stop_confirmed_at &&
            *tracked.stop_confirmed_at <= requested_at) {
            end(tracked, end_after_stop(tracked), {});
        } else if (tracked.start_confirmed_at &&
                   *tracked.start_confirmed_at <= requested_at) {
            // The executor neither runs the task nor lists its end, so the
            // start has to be sent again.
            tracked.start_confirmed_at.reset();
        }
    }
}

/// The decider knows such an incarnation from an earlier process of the agent,
/// which may also have sent the start.
void run_tracker::record_unknown_incarnations(core::time_point requested_at)
{
    for (auto& [run, tracked] : runs_) {
        if (!tracked.unknown_since || *tracked.unknown_since > requested_at)
            continue;
        tracked.unknown_since.reset();
        tracked.may_have_started = true;
        tracked.has_unanswered_start = true;
        ended_incarnations_.insert(tracked.order.executor);
    }
}

std::vector<run_tracker::action>
run_tracker::next_actions(core::time_point now, start_permission permission)
{
    std::vector<action> actions;
    has_deferred_start_ = false;
    for (auto& [run, tracked] : runs_) {
        if (tracked.ended || tracked.is_call_pending || now < tracked.retry_at)
            continue;
        if (tracked.order.executor != worker_.executor) {
            if (!is_replaced(tracked))
                tracked.unknown_since = tracked.unknown_since.value_or(now);
            else if (is_executor_confirmed_)
                end_replaced(tracked, actions);
            continue;
        }
        if (tracked.awaits_snapshot)
            continue;
        bool const is_ready = worker_.state == jobs::worker_state::ready;
        if (needs_stop(tracked) || (!is_ready && !tracked.may_have_started)) {
            if (!tracked.may_have_started) {
                end(tracked,
                    needs_stop(tracked) ? jobs::run_end::stopped
                                        : jobs::run_end::refused,
                    {});
            } else if (!tracked.stop_confirmed_at) {
                tracked.is_call_pending = true;
                actions.push_back({action::kind::stop, tracked.order});
            }
            continue;
        }
        if (tracked.start_confirmed_at || tracked.running || !is_ready)
            continue;
        if (permission == start_permission::no_lease)
            continue;
        // The decider counts the room of a run without an order as free, and
        // may have ordered the next run of the same task.
        if (permission == start_permission::incarnation_unconfirmed ||
            !runs_without_order_.empty()) {
            has_deferred_start_ = true;
            continue;
        }
        tracked.is_call_pending = true;
        tracked.may_have_started = true;
        actions.push_back({action::kind::start, tracked.order});
    }
    return actions;
}

bool run_tracker::has_ended(jobs::incarnation const& other) const
{
    if (other == worker_.executor)
        return false;
    return std::any_of(ended_incarnations_.begin(), ended_incarnations_.end(),
                       [&other](jobs::incarnation const& ended) {
                           return ended == other || ended.replaces(other);
                       });
}

bool run_tracker::is_replaced(tracked_run const& tracked) const
{
    auto const& ordered = tracked.order.executor;
    return worker_.executor.replaces(ordered) || has_ended(ordered);
}

jobs::run_end run_tracker::end_after_stop(tracked_run const& tracked) const
{
    if (is_replaced(tracked))
        return jobs::run_end::lost;
    return tracked.is_start_abandoned ? jobs::run_end::refused
                                      : jobs::run_end::stopped;
}

/// Orders name the id of an executor only, so one that restarts under its id
/// carries out the starts that were on their way to its predecessor. A stop
/// makes it refuse them.
void run_tracker::end_replaced(tracked_run& tracked,
                               std::vector<action>& actions)
{
    bool const is_same_id = tracked.order.executor.id == worker_.executor.id;
    // The start of a listed run has taken effect and cannot do so again.
    bool const may_run_now =
        is_same_id && worker_.state != jobs::worker_state::gone &&
        tracked.may_have_started &&
        (!tracked.was_listed || tracked.has_unanswered_start);
    if (!may_run_now)
        return end(tracked, jobs::run_end::lost, {});
    if (tracked.stop_confirmed_at)
        return;
    tracked.is_call_pending = true;
    auto stop = tracked.order;
    stop.executor = worker_.executor;
    actions.push_back({action::kind::stop, std::move(stop)});
}

bool run_tracker::has_replaced_runs() const
{
    return std::any_of(runs_.begin(), runs_.end(), [this](auto const& item) {
        return !item.second.ended && is_replaced(item.second);
    });
}

void run_tracker::receive_answer(action const& sent, order_reply const& reply,
                                 core::time_point now)
{
    auto const found = runs_.find(sent.order.run);
    if (found == runs_.end())
        return;
    auto& tracked = found->second;
    tracked.is_call_pending = false;
    if (tracked.ended)
        return;
    if (sent.type == action::kind::start)
        return receive_start_answer(tracked, reply, now);
    // A stop that an earlier incarnation confirmed says nothing on this one.
    if (sent.order.executor != worker_.executor)
        return;
    if (reply.outcome == order_outcome::done)
        tracked.stop_confirmed_at = now;
    else
        tracked.retry_at = now + refusal_retry_delay;
}

void run_tracker::receive_start_answer(tracked_run& tracked,
                                       order_reply const& reply,
                                       core::time_point now)
{
    switch (reply.outcome) {
    case order_outcome::done:
        tracked.start_confirmed_at = now;
        return;
    case order_outcome::too_late:
        tracked.retry_at = now;
        return;
    case order_outcome::unknown:
        tracked.has_unanswered_start = true;
        tracked.retry_at = now + timeout_retry_delay;
        return;
    case order_outcome::wrong_executor:
    case order_outcome::not_reached:
    case order_outcome::busy:
        tracked.retry_at = now + refusal_retry_delay;
        if (++tracked.failed_starts < max_failed_starts)
            return;
        break;
    case order_outcome::refused:
        break;
    }
    tracked.is_start_abandoned = true;
}

std::optional<jobs::incarnation> run_tracker::newest_ordered_incarnation() const
{
    std::optional<jobs::incarnation> newest;
    for (auto const& [run, tracked] : runs_) {
        auto const& ordered = tracked.order.executor;
        if (has_ended(ordered))
            continue;
        if (!newest || ordered.replaces(*newest))
            newest = ordered;
    }
    return newest;
}

bool run_tracker::needs_snapshot() const
{
    return has_deferred_start_ ||
           std::any_of(runs_.begin(), runs_.end(), [](auto const& item) {
               auto const& tracked = item.second;
               return !tracked.ended &&
                      (tracked.awaits_snapshot || tracked.stop_confirmed_at ||
                       tracked.unknown_since);
           });
}

std::vector<jobs::active_run> run_tracker::running() const
{
    std::vector<jobs::active_run> result;
    for (auto const& [run, tracked] : runs_) {
        if (tracked.running && !tracked.ended)
            result.push_back(*tracked.running);
    }
    return result;
}

std::vector<filler_throttle::observed_run> run_tracker::observed_runs() const
{
    std::vector<filler_throttle::observed_run> observed;
    for (auto const& [run, tracked] : runs_) {
        if (!tracked.running || tracked.ended)
            continue;
        observed.push_back({run, tracked.order.is_filler,
                            tracked.order.response_target,
                            tracked.running->response_time});
    }
    return observed;
}

std::vector<jobs::ended_run> run_tracker::ended() const
{
    auto result = ends_without_order_;
    for (auto const& [run, tracked] : runs_) {
        if (tracked.ended)
            result.push_back(*tracked.ended);
    }
    return result;
}

} // namespace sequoiaroute::agents
