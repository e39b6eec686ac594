#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sequoiaroute::placement {

/// Learns how fast workers are from equal tasks that ran on several of them.
///
/// The load that it answers: workers of one kind differ by a half in speed, and
/// a gang is as slow as its slowest member. Urgent gangs then finish late on
/// slow workers while patient tasks use the fast ones.
class worker_speed
{
public:
    /// Takes note of a finished run.
    /// @param agent where it ran
    /// @param group names the tasks that are alike
    /// @param taken how long it ran
    void record(std::string const& agent, std::string const& group,
                core::duration taken);

    /// @param agent the worker
    /// @return its run times in steps of a tenth, relative to other workers:
    ///         0 for about the same, above 0 for slower ones
    std::int32_t slowness(std::string const& agent) const;

    /// Forgets a worker whose executor started anew.
    void forget(std::string const& agent) { workers_.erase(agent); }

private:
    struct sample_group
    {
        std::string name;
        std::vector<double> seconds;
    };
    struct estimate
    {
        double log_ratio = 0;
        std::int32_t samples = 0;
    };

    sample_group& find_group(std::string const& name);

    std::deque<sample_group> groups_; ///< the newest last
    std::map<std::string, estimate> workers_;
};

} // namespace sequoiaroute::placement
