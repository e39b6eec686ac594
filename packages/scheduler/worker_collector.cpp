#include "scheduler/worker_collector.hpp"

#include "scheduler/job_tasks.hpp"
#include "scheduler/remaining_time.hpp"

#include <algorithm>
#include <map>

namespace sequoiaroute::scheduler {

namespace {

/// A run is stalled if its percentage has not changed for the longer of this
/// time and this fraction of its estimate: long tasks advance in rarer steps.
constexpr core::duration min_stall_time{2600};
constexpr double stall_fraction_of_estimate = 0.12;
/// The progress, in percent, of a run that has done its work.
constexpr std::int32_t complete_percent = 100;
/// The slowness of an executor that is cold after its start: half as slow
/// again, since its true speed is not known before it has warmed up.
constexpr std::int32_t cold_slowness = 4;
/// An executor that is warm sooner than this counts as warm.
constexpr core::duration min_cold_time{1000};

/// The members of a gang end together, so one on a fast worker waits at the end
/// of its work for those on slower ones.
/// @return whether a member of a gang has done its work, and others have not
bool awaits_other_members(open_job const& job, assignment const& run)
{
    if (run.percent < complete_percent)
        return false;
    auto const key = step_key_of(run.order.run.task);
    return std::any_of(job.assignments.begin(), job.assignments.end(),
                       [&](auto const& item) {
                           return step_key_of(item.first) == key &&
                                  item.second.percent < complete_percent;
                       });
}

/// @return a worker without runs
placement::worker make_worker(std::string const& agent, worker_view const& view,
                              worker_inputs const& inputs, core::time_point now)
{
    auto const& description = view.report.worker;
    auto const& health = inputs.statistics.health;
    placement::worker worker;
    worker.agent = agent;
    worker.executor = description.executor.id;
    worker.service = description.service;
    worker.rack = description.rack;
    worker.labels = description.labels;
    worker.capacity = description.capacity;
    worker.free = description.capacity;
    worker.free_after_stops = description.capacity;
    worker.is_accepting =
        description.state == jobs::worker_state::ready &&
        now - view.last_report_at < inputs.report_freshness_limit &&
        !health.is_avoided(agent, now) &&
        !inputs.evacuated_data_centres.contains(description.data_centre);
    worker.recent_failures = health.recent_failures(agent, now);
    worker.slowness = inputs.statistics.speed.slowness(agent);
    if (view.cold_until > now + min_cold_time)
        worker.slowness = std::max(worker.slowness, cold_slowness);
    return worker;
}

/// The expected remaining times of gangs, by step.
using gang_times = std::map<step_key, core::duration>;

/// @return for each gang of a job the time until its slowest member is done,
///         since all end together
gang_times remaining_gang_times(open_job const& job,
                                run_time_estimator const& run_times,
                                core::time_point now)
{
    gang_times times;
    for (auto const& [task, run] : job.assignments) {
        if (!step_of(job, task).is_gang)
            continue;
        auto& longest = times[step_key_of(task)];
        longest = std::max(longest,
                           expected_remaining_time(job, run, run_times, now));
    }
    return times;
}

/// @return how much longer a run uses its worker
core::duration remaining_time_of(open_job const& job, assignment const& run,
                                 gang_times const& gangs,
                                 run_time_estimator const& run_times,
                                 core::time_point now)
{
    auto const gang = gangs.find(step_key_of(run.order.run.task));
    if (gang != gangs.end())
        return gang->second;
    return std::max(expected_remaining_time(job, run, run_times, now),
                    core::duration(0));
}

/// Deducts the resources of a run from its worker, and notes when they become
/// free.
void add_run(placement::worker& worker, open_job const& job,
             assignment const& run, core::duration remaining)
{
    worker.free -= run.resources;
    if (!run.is_stopping()) {
        worker.free_after_stops -= run.resources;
        if (step_of(job, run.order.run.task).is_long_running) {
            worker.lasting += run.resources;
        } else {
            worker.expected_ends.push_back({remaining, run.resources});
        }
    }
    if (is_stalled(job, run))
        worker.is_accepting = false;
    if (run.share < 100)
        worker.throttles_fillers = true;
}

} // namespace

bool is_stalled(open_job const& job, assignment const& run)
{
    if (!run.first_seen_at || run.is_stopping())
        return false;
    auto const& step = step_of(job, run.order.run.task);
    // A filler that its agent throttles is not at fault.
    if (step.is_long_running || run.share < 100)
        return false;
    if (step.is_gang && awaits_other_members(job, run))
        return false;
    auto const stall_time = core::scaled(
        step.estimate, stall_fraction_of_estimate * run.run_time_factor);
    // Compared with the time of the newest report, not with the current time:
    // without reports, missing progress is no sign of a stall.
    return run.last_seen_at - run.percent_changed_at >
           std::max(min_stall_time, stall_time);
}

std::vector<placement::worker> collect_workers(worker_inputs const& inputs,
                                               core::time_point now)
{
    std::map<std::string, std::size_t> positions;
    std::vector<placement::worker> result;
    result.reserve(inputs.workers.size());
    for (auto const& [agent, view] : inputs.workers) {
        positions[agent] = result.size();
        result.push_back(make_worker(agent, view, inputs, now));
    }
    auto const& run_times = inputs.statistics.run_times;
    for (auto const& [id, job] : inputs.jobs) {
        auto const gangs = remaining_gang_times(job, run_times, now);
        for (auto const& [task, run] : job.assignments) {
            auto const found = positions.find(run.order.agent);
            if (found == positions.end())
                continue;
            add_run(result[found->second], job, run,
                    remaining_time_of(job, run, gangs, run_times, now));
        }
    }
    return result;
}

} // namespace sequoiaroute::scheduler
