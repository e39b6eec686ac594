#pragma once

#include "jobs/rules.hpp"
#include "placement/placement_round.hpp"
#include "placement/worker_health.hpp"
#include "placement/worker_speed.hpp"
#include "scheduler/open_job.hpp"
#include "scheduler/run_time_estimator.hpp"
#include "scheduler/worker_view.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sequoiaroute::scheduler {

using job_map = std::map<std::string, open_job>;
using worker_map = std::map<std::string, worker_view>;

/// A waiting group and the tasks that it stands for.
struct waiting_tasks
{
    placement::waiting_group group;
    std::vector<jobs::task_id> tasks;
    /// Groups with smaller values go first.
    std::int64_t order_class = 0;
    /// An urgent group whose objective is out of reach goes after those that
    /// can still meet theirs.
    bool is_late = false;
    core::time_point latest_start{};
};

/// A running group and the tasks that it stands for.
struct running_tasks
{
    placement::running_group group;
    std::vector<jobs::task_id> tasks;
};

/// @return whether all tasks of the steps that a step waits for are done
bool is_step_due(jobs::submission const& job,
                 jobs::occurrence_progress const& occurrence, std::size_t step);

/// Collects the tasks that wait, the most urgent first.
/// @param jobs all open jobs; remembers since when a step waits
/// @param rules the guarantees
/// @param run_times how long tasks are expected to run
/// @param now the current time
std::vector<waiting_tasks> collect_waiting(job_map& jobs,
                                           jobs::rules const& rules,
                                           run_time_estimator const& run_times,
                                           core::time_point now);

/// Collects the runs that may be stopped in favour of others.
std::vector<running_tasks> collect_running(job_map const& jobs,
                                           core::time_point now);

/// Works out the room of every worker.
/// @param workers the workers that have reported
/// @param jobs the jobs whose runs take room
/// @param health which workers to avoid
/// @param speed how fast workers are
/// @param fresh_after workers heard before it take no new runs
std::vector<placement::worker>
collect_workers(worker_map const& workers, job_map const& jobs,
                placement::worker_health const& health,
                placement::worker_speed const& speed, core::time_point now,
                core::duration fresh_after);

/// @return whether a run stands still although its worker reports
bool is_stalled(open_job const& job, assignment const& run);

} // namespace sequoiaroute::scheduler
