#pragma once

#include "core/clock.hpp"
#include "jobs/worker_report.hpp"

namespace sequoiaroute::scheduler {

/// What the decider knows of a worker.
struct worker_view
{
    jobs::worker_report report;
    /// When the newest report arrived.
    core::time_point heard_at{};
};

} // namespace sequoiaroute::scheduler
