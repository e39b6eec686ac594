#include "jobs/lease_timing.hpp"

#include <algorithm>

namespace sequoiaroute::jobs {

namespace {

/// Outages of the store up to this length do not interrupt runs.
constexpr core::duration tolerated_outage{8000};
/// Longer leases only delay the reuse of the resources of a lost worker.
constexpr core::duration preferred_lease{6000};
/// Allows for two missed reports before the lease is no longer extended.
constexpr core::duration min_outage_tolerance{3000};
/// The largest ratio of true time to time by the clock of an executor, which
/// may be slow.
constexpr double max_clock_slowdown = 1.02;
/// The longest time from sending a report until the decider's replica has it.
constexpr core::duration max_report_delay{1200};

/// @param passed time by the clock of an executor
/// @return the longest true time that passes meanwhile
core::duration longest_true_time(core::duration passed)
{
    return core::duration(static_cast<core::duration::rep>(
        static_cast<double>(passed.count()) * max_clock_slowdown));
}

} // namespace

core::duration lease_timing::lease() const
{
    return std::min(max_lease, preferred_lease);
}

core::duration lease_timing::store_outage_tolerance() const
{
    return std::max(min_outage_tolerance, tolerated_outage - lease());
}

core::duration lease_timing::max_time_to_stop() const
{
    return longest_true_time(lease()) + max_stop_time;
}

core::duration lease_timing::max_time_to_stop_after_restart() const
{
    return longest_true_time(max_lease) + max_stop_time;
}

core::duration lease_timing::least_executor_time(core::duration passed)
{
    return core::duration(static_cast<core::duration::rep>(
        static_cast<double>(passed.count()) / max_clock_slowdown));
}

core::duration lease_timing::session_timeout() const
{
    return store_outage_tolerance() + max_time_to_stop();
}

core::duration lease_timing::lost_after() const
{
    return session_timeout() + max_report_delay;
}

} // namespace sequoiaroute::jobs
