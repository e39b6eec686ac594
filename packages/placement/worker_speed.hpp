#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sequoiaroute::placement {

/// Estimates the relative speed of workers from the run times of equal tasks
/// that ran on several of them.
///
/// Workers of the same kind can differ in speed by half, and a gang is as slow
/// as its slowest member. Without an estimate urgent gangs finish late on slow
/// workers while tasks that are not urgent use the fast ones.
class worker_speed
{
public:
    /// Records the run time of a task and updates the estimate of its worker.
    /// @param agent the agent of the worker
    /// @param group a name that all tasks with the same amount of work share
    /// @param run_time how long the whole task takes on the worker
    void record(std::string const& agent, std::string const& group,
                core::duration run_time);

    /// @param agent the agent of the worker
    /// @return its run times relative to the median for the same tasks, in
    ///         steps of about a tenth (ten times the natural logarithm of the
    ///         ratio): 0 if about equal or unknown, above 0 for slower workers
    std::int32_t slowness(std::string const& agent) const;

    /// Discards the estimate of a worker that has become another one.
    void discard_worker(std::string const& agent) { estimates_.erase(agent); }

    /// The estimate of one worker.
    struct estimate
    {
        /// Average natural logarithm of run time over median run time.
        double log_ratio = 0;
        std::int32_t samples = 0;
    };

    using estimates = std::map<std::string, estimate>; ///< by agent

    /// @return the estimates of workers that are clearly faster or slower than
    ///         others, to be kept for the next decider
    estimates notable_estimates() const;

    /// Adds estimates of an earlier decider; those known already are kept.
    void restore(estimates const& earlier);

private:
    /// Run times of equal tasks, on any worker.
    struct sample_group
    {
        std::string name;
        std::vector<double> run_times; ///< in milliseconds
    };

    /// Adds the group if it is new, which may drop the oldest one.
    sample_group& find_group(std::string const& name);

    std::deque<sample_group> groups_; ///< the newest one last
    estimates estimates_;
};

} // namespace sequoiaroute::placement
