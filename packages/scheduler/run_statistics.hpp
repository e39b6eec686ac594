#pragma once

#include "placement/worker_health.hpp"
#include "placement/worker_speed.hpp"
#include "scheduler/open_job.hpp"
#include "scheduler/run_time_estimator.hpp"

namespace sequoiaroute::scheduler {

/// Statistics of the runs: the health and speed of each worker, and the run
/// times of each queue.
struct run_statistics
{
    placement::worker_health health;
    placement::worker_speed speed;
    run_time_estimator run_times;

    /// Derives the speed of a worker from the progress of a run, long before
    /// the run ends. Does so at most once per run.
    /// @param job the job of the run
    /// @param run the run, updated from the newest report
    void observe_progress(open_job const& job, assignment& run);

    /// Records the run time of a run that completed its task. Ignores runs that
    /// started from a checkpoint, since they had less work to do.
    /// @param job the job of the run
    /// @param run the run
    /// @param now the time at which its end was reported
    void observe_success(open_job const& job, assignment const& run,
                         core::time_point now);
};

} // namespace sequoiaroute::scheduler
