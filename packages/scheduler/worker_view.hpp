#pragma once

#include "core/clock.hpp"
#include "jobs/worker_report.hpp"

namespace sequoiaroute::scheduler {

/// The state of a worker as last reported.
struct worker_view
{
    jobs::worker_report report; ///< the newest one
    /// When it arrived. For one read from the store at a takeover: when it was
    /// written.
    core::time_point last_report_at{};
};

} // namespace sequoiaroute::scheduler
