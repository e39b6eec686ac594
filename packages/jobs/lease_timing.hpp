#pragma once

#include "core/clock.hpp"

namespace sequoiaroute::jobs {

/// The times for which agents extend leases without the store, and after which
/// the decider considers an agent that sends no reports as lost. Both are
/// derived from the longest lease that executors grant, so that agents and
/// decider agree.
struct lease_timing
{
    /// The longest lease that executors grant.
    core::duration max_lease{6000};
    /// The longest time that an executor takes to stop its runs.
    core::duration max_stop_time{1000};

    /// @return the lease that an agent requests with each extension
    core::duration lease() const;

    /// @return how long after its last stored report an agent keeps extending
    ///         the lease of its executor
    core::duration store_outage_tolerance() const;

    /// @return the time after the last extension of a lease by which the
    ///         executor has certainly stopped all runs, even if its clock is
    ///         slow
    core::duration max_time_to_stop() const;

    /// @return the same for an executor that may have granted its longest
    ///         lease: a restarted one does if it takes the end of a lease by
    ///         the clock of an earlier incarnation as one by its own
    core::duration max_time_to_stop_after_restart() const;

    /// @param passed true time
    /// @return the least time that passes meanwhile on an executor's clock
    static core::duration least_executor_time(core::duration passed);

    /// @return the time after the last report that an agent has sent and the
    ///         store has kept by which its worker has certainly stopped all
    ///         runs
    core::duration session_timeout() const;

    /// @return the age of the last report of an agent from which the decider
    ///         takes the agent as lost and its runs as ended; longer than
    ///         session_timeout() by the time that a report may take to arrive
    core::duration lost_after() const;
};

} // namespace sequoiaroute::jobs
