#include "programs/loss_report.hpp"

#include <algorithm>

namespace sequoiaroute::programs {

namespace {

/// The number of outages, and of hand-overs, with which waits are compared.
constexpr std::size_t max_kept_intervals = 1000;
/// Jobs that ended earlier than this many others are not recognised again.
constexpr std::size_t max_closed_jobs = 10'000;
/// A job that was refused this long ago and not accepted since never will be.
constexpr std::int64_t max_refusal_age_ms = 60'000;
/// The cores to which one accelerator is equivalent when work is compared.
constexpr double cores_per_accelerator = 8;

std::size_t index_of(loss_cause cause)
{
    return static_cast<std::size_t>(cause);
}

/// @return the id of the job in the name of a run, JOB.OCCURRENCE.STEP.INDEX/N
std::string job_of(std::string_view run)
{
    for (int count = 0; count < 3; ++count)
        run = run.substr(0, run.rfind('.'));
    return std::string(run);
}

/// @return the name of the task in that of a run
std::string task_of(std::string_view run)
{
    return std::string(run.substr(0, run.rfind('/')));
}

loss_cause cause_of_end(std::string_view end)
{
    if (end == "failed")
        return loss_cause::failure;
    if (end == "broken" || end == "alone")
        return loss_cause::broken_gang;
    if (end == "lost" || end == "lapsed")
        return loss_cause::lost_worker;
    return loss_cause::other_stop;
}

loss_cause cause_of_stop(std::string_view reason)
{
    if (reason == "preempted by urgent work")
        return loss_cause::preemption;
    if (reason == "worker leaves before the end")
        return loss_cause::closing_worker;
    if (reason == "no progress")
        return loss_cause::stall;
    if (reason == "another member of the gang has ended")
        return loss_cause::broken_gang;
    return loss_cause::other_stop;
}

/// Adds the losses of a job to a sum.
void add_losses(losses& sum, losses const& lost)
{
    for (std::size_t cause = 0; cause < lost.size(); ++cause) {
        sum[cause].waited_ms += lost[cause].waited_ms;
        sum[cause].core_seconds += lost[cause].core_seconds;
        if (lost[cause].waited_ms > 0 || lost[cause].core_seconds > 0)
            ++sum[cause].jobs;
    }
}

} // namespace

std::string_view name(loss_cause cause)
{
    constexpr std::array<std::string_view, loss_cause_count> names{
        "store",          "hand_over",  "queueing",    "resources",
        "gang_resources", "agent",      "end_report",  "preemption",
        "closing_worker", "stall",      "broken_gang", "failure",
        "lost_worker",    "other_stop", "refusal"};
    return names[index_of(cause)];
}

void loss_report::add(logged_event const& event)
{
    auto const& type = event.type;
    if (type == "log_lines_dropped") {
        dropped_lines_ += event.number("count");
    } else if (type == "executor_joined") {
        if (auto centre = event.text("data_centre"); !centre.empty())
            data_centre_by_agent_[event.text("agent")] = std::move(centre);
    } else if (type == "store_lost" || type == "store_regained" ||
               type == "rules_in_force" || type == "process_stopped") {
        add_store_change(event);
    } else if (type == "lease_acquired") {
        hand_over_since_ms_ = event.time_ms - event.number("unchanged_ms");
    } else if (type == "decider_ready" && hand_over_since_ms_) {
        hand_overs_.push_back({*hand_over_since_ms_, event.time_ms});
        hand_over_since_ms_.reset();
        if (hand_overs_.size() > max_kept_intervals)
            hand_overs_.pop_front();
    } else if (type == "start_answered") {
        add_start(event);
    } else if (type == "run_end_listed") {
        add_listed_end(event);
    } else if (auto const id = event.text("job");
               id.empty() || closed_jobs_.contains(id)) {
        // Entries and deciders name a finished job again, when its customer
        // repeats a call or another decider takes over.
        return;
    } else if (type == "job_refused") {
        add_refusal(id, event);
    } else if (type == "job_accepted") {
        add_acceptance(jobs_[id], event);
    } else if (type == "job_queued") {
        add_queued(jobs_[id], event);
    } else if (auto const found = jobs_.find(id); found != jobs_.end()) {
        if (type == "run_ordered")
            add_order(found->second, event);
        else if (type == "run_stop_ordered")
            add_stop(found->second, event);
        else if (type == "run_ended")
            add_end(found->second, event);
        else if (type == "job_finished") {
            ++finished_jobs_;
            ++second_of(event.time_ms).finished_jobs;
            close(found);
        } else if (type == "job_cancelled") {
            close(found);
        }
    }
}

void loss_report::finish()
{
    while (!jobs_.empty()) {
        auto const next = jobs_.begin();
        auto const& open = next->second;
        unfinished_jobs_ += open.accepted_ms || open.queued_ms ? 1 : 0;
        close(next);
    }
}

void loss_report::add_refusal(std::string const& id, logged_event const& event)
{
    auto& refused = jobs_[id];
    if (!refused.refused_ms) {
        refused.refused_ms = event.time_ms;
        refused_jobs_.push_back({event.time_ms, id});
    }
    // Customers give up long before.
    while (event.time_ms - refused_jobs_.front().first > max_refusal_age_ms) {
        auto const oldest = jobs_.find(refused_jobs_.front().second);
        if (oldest != jobs_.end() && !oldest->second.accepted_ms &&
            !oldest->second.queued_ms)
            close(oldest);
        refused_jobs_.pop_front();
    }
}

void loss_report::add_acceptance(job& changed, logged_event const& event)
{
    if (changed.accepted_ms)
        return;
    changed.accepted_ms = event.time_ms;
    if (changed.refused_ms)
        add_wait(changed, loss_cause::refusal,
                 {*changed.refused_ms, event.time_ms});
}

void loss_report::add_queued(job& changed, logged_event const& event)
{
    // Each decider that takes over logs all jobs again.
    if (changed.queued_ms)
        return;
    changed.queued_ms = event.time_ms;
    changed.queue = event.text("queue");
    changed.customer = event.text("customer");
    changed.has_gang = event.number("gangs") > 0;
    auto const tasks = std::max<std::int64_t>(event.number("tasks"), 1);
    auto const cores = static_cast<double>(event.number("millicores")) / 1000 +
                       cores_per_accelerator *
                           static_cast<double>(event.number("accelerators"));
    changed.cores_per_task = cores / static_cast<double>(tasks);
    if (changed.accepted_ms)
        add_wait(changed, loss_cause::queueing,
                 {*changed.accepted_ms, event.time_ms});
}

void loss_report::add_order(job& changed, logged_event const& event)
{
    auto const run = event.text("run");
    if (!changed.has_run && changed.queued_ms)
        add_wait(changed,
                 changed.has_gang ? loss_cause::gang_resources
                                  : loss_cause::resources,
                 {*changed.queued_ms, event.time_ms});
    changed.has_run = true;
    auto& ordered = changed.tasks[task_of(run)];
    if (ordered.waiting_since_ms)
        add_wait(changed, ordered.cause,
                 {*ordered.waiting_since_ms, event.time_ms});
    ordered = {};
    ordered.run = run;
    ordered.agent = event.text("agent");
    ordered.ordered_ms = event.time_ms;
}

loss_report::task* loss_report::find_task(std::string const& run)
{
    auto const found = jobs_.find(job_of(run));
    if (found == jobs_.end())
        return nullptr;
    auto const task = found->second.tasks.find(task_of(run));
    if (task == found->second.tasks.end() || task->second.run != run)
        return nullptr;
    return &task->second;
}

void loss_report::add_start(logged_event const& event)
{
    auto const run = event.text("run");
    auto* const started = find_task(run);
    if (started == nullptr || started->started_ms ||
        event.text("outcome") != "done")
        return;
    started->started_ms = event.time_ms;
    add_wait(jobs_.at(job_of(run)), loss_cause::agent,
             {*started->ordered_ms, event.time_ms});
}

void loss_report::add_listed_end(logged_event const& event)
{
    auto* const ended = find_task(event.text("run"));
    if (ended != nullptr && !ended->end_listed_ms)
        ended->end_listed_ms = event.time_ms;
}

void loss_report::add_stop(job& changed, logged_event const& event)
{
    auto const found = changed.tasks.find(task_of(event.text("run")));
    if (found != changed.tasks.end())
        found->second.cause = cause_of_stop(event.text("reason"));
}

void loss_report::add_end(job& changed, logged_event const& event)
{
    auto const found = changed.tasks.find(task_of(event.text("run")));
    if (found == changed.tasks.end() || found->second.run != event.text("run"))
        return;
    auto& ended = found->second;
    auto const end = event.text("end");
    if (ended.end_listed_ms)
        add_wait(changed, loss_cause::end_report,
                 {*ended.end_listed_ms, event.time_ms});
    if (end == "done") {
        changed.tasks.erase(found);
        return;
    }
    auto const cause = end == "stopped" ? ended.cause : cause_of_end(end);
    add_lost_work(changed, cause, ended,
                  ended.end_listed_ms.value_or(event.time_ms));
    ended.cause = cause;
    ended.waiting_since_ms = event.time_ms;
}

void loss_report::add_lost_work(job& affected, loss_cause cause,
                                task const& run, std::int64_t end_ms)
{
    if (!run.started_ms)
        return;
    auto const seconds = static_cast<double>(std::max<std::int64_t>(
                             end_ms - *run.started_ms, 0)) /
                         1000;
    auto const core_seconds = seconds * affected.cores_per_task;
    affected.lost[index_of(cause)].core_seconds += core_seconds;
    auto const centre = data_centre_by_agent_.find(run.agent);
    if (centre == data_centre_by_agent_.end())
        return;
    auto& sum = by_data_centre_[centre->second][index_of(cause)];
    ++sum.jobs;
    sum.core_seconds += core_seconds;
}

void loss_report::add_store_change(logged_event const& event)
{
    if (event.type == "process_stopped")
        store_lost_by_entry_.erase(event.node);
    else if (event.type == "rules_in_force")
        store_lost_by_entry_.try_emplace(event.node, false);
    else
        store_lost_by_entry_[event.node] = event.type == "store_lost";
    auto const lost =
        std::count_if(store_lost_by_entry_.begin(), store_lost_by_entry_.end(),
                      [](auto const& item) { return item.second; });
    bool const is_outage = lost > 0 && 2 * static_cast<std::size_t>(lost) >=
                                           store_lost_by_entry_.size();
    if (is_outage == outage_since_ms_.has_value())
        return;
    if (is_outage) {
        outage_since_ms_ = event.time_ms;
        return;
    }
    outages_.push_back({*outage_since_ms_, event.time_ms});
    for (auto second = *outage_since_ms_ / 1000; second <= event.time_ms / 1000;
         ++second)
        second_of(second * 1000).is_store_lost = true;
    outage_since_ms_.reset();
    if (outages_.size() > max_kept_intervals)
        outages_.pop_front();
}

void loss_report::add_wait(job& waiting, loss_cause cause, interval time)
{
    auto const overlap = [&](std::deque<interval> const& others) {
        std::int64_t sum = 0;
        for (auto const& other : others)
            sum += std::max<std::int64_t>(
                std::min(time.end_ms, other.end_ms) -
                    std::max(time.begin_ms, other.begin_ms),
                0);
        return sum;
    };
    auto const waited = time.end_ms - time.begin_ms;
    if (waited <= 0)
        return;
    auto const in_outage = std::min(overlap(outages_), waited);
    auto const in_hand_over =
        std::min(overlap(hand_overs_), waited - in_outage);
    waiting.lost[index_of(loss_cause::store)].waited_ms += in_outage;
    waiting.lost[index_of(loss_cause::hand_over)].waited_ms += in_hand_over;
    waiting.lost[index_of(cause)].waited_ms +=
        waited - in_outage - in_hand_over;
    add_to_time_line(cause, time);
}

void loss_report::add_to_time_line(loss_cause cause, interval time)
{
    for (auto second = time.begin_ms / 1000; second * 1000 < time.end_ms;
         ++second) {
        auto const begin = std::max(time.begin_ms, second * 1000);
        auto const end = std::min(time.end_ms, (second + 1) * 1000);
        second_of(begin).waited_ms[index_of(cause)] += end - begin;
    }
}

second_summary& loss_report::second_of(std::int64_t time_ms)
{
    auto const second = time_ms / 1000;
    if (seconds_.size() >= max_seconds && !seconds_.contains(second))
        return seconds_.rbegin()->second;
    return seconds_[second];
}

void loss_report::close(std::map<std::string, job>::iterator closed)
{
    auto& ended = closed->second;
    if (!ended.accepted_ms && !ended.queued_ms)
        ++never_accepted_jobs_;
    add_losses(total_, ended.lost);
    add_losses(by_queue_[ended.queue], ended.lost);
    add_losses(by_customer_[ended.customer], ended.lost);
    closed_jobs_.insert(closed->first);
    closing_order_.push_back(closed->first);
    if (closing_order_.size() > max_closed_jobs) {
        closed_jobs_.erase(closing_order_.front());
        closing_order_.pop_front();
    }
    jobs_.erase(closed);
}

} // namespace sequoiaroute::programs
