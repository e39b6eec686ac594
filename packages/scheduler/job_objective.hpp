#pragma once

#include "core/clock.hpp"
#include "scheduler/open_job.hpp"
#include "scheduler/run_time_estimator.hpp"

namespace sequoiaroute::scheduler {

/// What completing a job now would still be worth to its caller.
enum class usefulness
{
    timely, ///< it can meet its objective
    late,   ///< it cannot, but its result is still of use
    none,   ///< its result comes too late to be of use
};

/// The times by which a job should be completed.
struct job_objective
{
    core::time_point due{};          ///< it meets its objective until then
    core::time_point useful_until{}; ///< its result is of use until then
    /// The latest start of its remaining steps with which it meets its
    /// objective.
    core::time_point latest_start{};
    /// How long its remaining steps are expected to take.
    core::duration remaining_path{0};

    usefulness usefulness_at(core::time_point now) const;
};

/// @return the objective of a job, as its queue sets it
/// @param job the job
/// @param run_times estimates run times
job_objective objective_of(open_job const& job,
                           run_time_estimator const& run_times);

} // namespace sequoiaroute::scheduler
