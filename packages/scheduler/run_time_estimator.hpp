#pragma once

#include "core/clock.hpp"
#include "jobs/job_spec.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sequoiaroute::scheduler {

/// Estimates run times from the customers' estimates and from earlier runs of
/// the same queue.
///
/// Estimates are off by a fifth in one queue and by a factor of three in
/// another. If bad ones were trusted, jobs that cannot meet their objective
/// would start first and runs that are almost done would be preempted; if none
/// were, good ones would be wasted. So the customer's estimate and the mean run
/// time of the queue are weighted by the inverse of their variance.
class run_time_estimator
{
public:
    /// Records a run that did all the work of its task.
    /// @param queue the queue of its job
    /// @param estimate the customer's estimate
    /// @param run_time its actual run time
    void record(std::string const& queue, core::duration estimate,
                core::duration run_time);

    /// @param queue the queue of the job
    /// @param estimate the customer's estimate
    /// @return the expected run time of a task; the estimate itself until
    ///         enough runs of the queue were recorded
    core::duration expected_run_time(std::string const& queue,
                                     core::duration estimate) const;

    /// @return the expected run time of a task of each step, by index
    std::vector<core::duration>
    expected_step_times(jobs::submission const& job) const;

    /// @return the expected run time of the longest chain of dependent steps
    core::duration expected_critical_path(jobs::submission const& job) const;

private:
    /// Running mean and variance, by Welford's method.
    struct welford_accumulator
    {
        std::int64_t count = 0;
        double mean = 0;
        double squared_deviations = 0;

        void add(double value);
        double variance() const;
    };
    struct history
    {
        /// Of the logarithm of the run time in milliseconds.
        welford_accumulator run_time;
        /// Of the logarithm of run time / estimate.
        welford_accumulator estimate_error;
    };

    std::map<std::string, history> queues_;
};

} // namespace sequoiaroute::scheduler
