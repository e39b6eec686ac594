#pragma once

#include "core/clock.hpp"
#include "jobs/job_spec.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace sequoiaroute::scheduler {

/// Expects how long tasks run, from what customers estimate and from how long
/// tasks of the same queue ran.
///
/// The load that it answers: customers of one queue are off by a fifth, those
/// of another by a factor of three. Taking both at their word starts doomed
/// jobs first and stops runs that were almost done; trusting no estimate wastes
/// those that are good. The two guesses are weighed by how far each was off.
class run_time_estimator
{
public:
    /// Takes note of a run that did its whole work.
    /// @param queue the queue of its job
    /// @param estimate what the customer had estimated
    /// @param taken how long it ran
    void record(std::string const& queue, core::duration estimate,
                core::duration taken);

    /// @return how long a task of a step is expected to run
    core::duration expected(std::string const& queue,
                            core::duration estimate) const;

    /// @return how long the longest chain of a job's steps is expected to run
    core::duration expected_chain(jobs::submission const& job) const;

private:
    /// Mean and variance of logarithms, by Welford's method.
    struct statistics
    {
        std::int64_t count = 0;
        double mean = 0;
        double squares = 0;

        void add(double value);
        double variance() const;
    };
    struct history
    {
        statistics run_time;       ///< of the run time in milliseconds
        statistics estimate_error; ///< of the run time by the estimate
    };

    std::map<std::string, history> queues_;
};

} // namespace sequoiaroute::scheduler
