#pragma once

#include "placement/worker_health.hpp"
#include "placement/worker_speed.hpp"
#include "scheduler/open_job.hpp"
#include "scheduler/run_time_estimator.hpp"

namespace sequoiaroute::scheduler {

/// What runs teach: which workers fail, how fast each is, and how long tasks
/// of a queue take.
struct run_lessons
{
    placement::worker_health health;
    placement::worker_speed speed;
    run_time_estimator run_times;

    /// Learns the speed of a worker from the progress of a run, long before
    /// its end.
    /// @param job the job of the run
    /// @param run the run as the newest report shows it
    void observe_progress(open_job const& job, assignment& run);

    /// Learns from a run that did its work.
    void observe_success(open_job const& job, assignment const& run,
                         core::time_point now);

    /// Forgets a worker whose executor started anew.
    void forget(std::string const& agent);
};

} // namespace sequoiaroute::scheduler
