#pragma once

#include "core/clock.hpp"
#include "jobs/worker_report.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace sequoiaroute::scheduler {

/// The state of a worker as last reported.
struct worker_view
{
    jobs::worker_report report; ///< the newest one
    /// When it arrived. For one read from the store at a takeover: when it was
    /// written.
    core::time_point last_report_at{};
    /// Until when its executor is slow after its start.
    core::time_point cold_until{};
    /// The executor in the first report that the decider has received.
    jobs::incarnation first_executor;
};

/// An agent whose runs were taken as lapsed, since it had not reported for too
/// long.
struct lost_agent
{
    std::string agent;
    core::duration silence{0}; ///< since its last report
    std::int64_t lapsed_runs = 0;
};

using worker_map = std::map<std::string, worker_view>; ///< by agent

} // namespace sequoiaroute::scheduler
