#pragma once

#include "core/clock.hpp"

namespace sequoiaroute::jobs {

/// How long agents keep work alive without the store, and how long the decider
/// waits for a silent agent. Both follow from the longest lease that executors
/// grant, so that the two sides agree.
struct lease_timing
{
    /// The longest lease that an executor grants.
    core::duration longest_lease{6000};
    /// How long a stop may take.
    core::duration stop{1000};

    /// @return for how long agents extend the lease each time
    core::duration lease() const;

    /// @return how long an agent extends leases after its last stored report
    core::duration store_outage_tolerance() const;

    /// @return how long after the last extension an executor surely runs
    ///         nothing, although its clock may be slow
    core::duration max_time_to_stop() const;

    /// @return how long after its last report an agent's worker surely runs
    ///         nothing
    core::duration lost_after() const;
};

} // namespace sequoiaroute::jobs
