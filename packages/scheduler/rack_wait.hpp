#pragma once

#include "core/clock.hpp"

namespace sequoiaroute::scheduler {

/// What the scheduler assumes of work away from its data.
struct locality_limits
{
    /// How many times as long a task takes away from its data, or if it is
    /// rack-local and its step runs on several racks.
    double remote_factor = 3;
    /// A job that has been accepted for this long does not wait for a rack
    /// beside a service that is mostly idle.
    core::duration idle_start_limit{10'000};
};

/// A step whose tasks find no room on the racks that suit them.
struct rack_waiter
{
    /// The run time of a task near its data.
    core::duration run_time{0};
    core::duration waited{0};  ///< since its tasks could have started
    core::duration job_age{0}; ///< since its job was accepted
    bool is_long_running = false;
    bool is_guaranteed = false;     ///< its customer's guarantee covers it
    bool has_running_tasks = false; ///< its job has any
};

/// How long room on a suitable rack is worth waiting for: a group whose tasks
/// are expected to start there later uses any rack now.
struct rack_wait_limits
{
    core::duration busy{0}; ///< while others could use the room elsewhere
    core::duration idle{0}; ///< while most of the service is idle
};

/// Weighs a wait for the rack with the data of a step, or for room on one rack,
/// against a start elsewhere, where its tasks take longer.
///
/// A wait shorter than what the tasks lose elsewhere lets the job complete
/// sooner. Run times are only estimated, and other work may take the room as it
/// becomes free, so beside idle workers a job waits for a limited time in all.
/// Where a long-running task runs matters little to its users, and its absence
/// does.
/// @return the limits; zero if the tasks should start anywhere
rack_wait_limits limit_rack_wait(rack_waiter const& waiter,
                                 locality_limits const& limits);

} // namespace sequoiaroute::scheduler
