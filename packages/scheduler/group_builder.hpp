#pragma once

#include "jobs/rules.hpp"
#include "placement/placement_round.hpp"
#include "scheduler/job_objective.hpp"
#include "scheduler/open_job.hpp"
#include "scheduler/rack_wait.hpp"
#include "scheduler/run_time_estimator.hpp"

#include <set>
#include <string>
#include <vector>

namespace sequoiaroute::scheduler {

/// Waiting tasks of one step, and the group that represents them in placement.
struct waiting_tasks
{
    placement::waiting_group group;
    std::vector<jobs::task_id> tasks;
    /// Groups with lower values are placed first: 0 for urgent groups covered
    /// by a guarantee, 1 for other urgent groups and for long-running tasks, 2
    /// for the rest.
    std::int64_t priority_class = 0;
    /// Groups of a class that can meet their objectives are placed before those
    /// that are late, and these before those that are of no use any more.
    usefulness rank = usefulness::timely;
    /// The latest start of the job with which it meets its objective.
    core::time_point latest_start{};
};

/// Tasks of a step that have waited for a while.
struct step_wait
{
    std::string job_id;
    step_key step;
    std::size_t tasks = 0;
    placement::wait_reason reason = placement::wait_reason::room;
};

/// Tasks that are stopped together, and the group that represents them in
/// placement: one task, or all members of a gang.
struct running_tasks
{
    placement::running_group group;
    std::vector<jobs::task_id> tasks;
};

/// @param job the job
/// @param occurrence the progress of one of its occurrences
/// @param step index of the step
/// @return whether all tasks of the steps that it depends on are done
bool is_step_due(jobs::submission const& job,
                 jobs::occurrence_progress const& occurrence, std::size_t step);

using guaranteed_set = std::set<open_job const*>;

/// @param jobs all jobs
/// @param rules the rules in force, with the guarantees of customers
/// @return the urgent jobs covered by their customer's guarantee: in the order
///         of arrival, those up to which the sum of the accelerators of first
///         steps does not exceed it
guaranteed_set guaranteed_jobs(job_map const& jobs, jobs::rules const& rules);

/// Collects the tasks that can start, a group for each step. The tasks of a
/// gang are left out until no member runs.
/// @param jobs all jobs; open_job::waiting_since is updated
/// @param guaranteed the jobs covered by a guarantee
/// @param run_times estimates run times
/// @param limits what work away from its data costs
/// @param now the current time
/// @return the groups in the order in which to place them
std::vector<waiting_tasks>
collect_waiting_groups(job_map& jobs, guaranteed_set const& guaranteed,
                       run_time_estimator const& run_times,
                       locality_limits const& limits, core::time_point now);

/// Collects the runs that may be preempted. Excludes runs that are being
/// stopped and steps whose absences the customer has limited.
/// @param jobs all jobs
/// @param guaranteed the jobs covered by a guarantee
/// @param run_times estimates run times
/// @param now the current time
std::vector<running_tasks> collect_preemptible_groups(
    job_map const& jobs, guaranteed_set const& guaranteed,
    run_time_estimator const& run_times, core::time_point now);

} // namespace sequoiaroute::scheduler
