#include "jobs/lease_timing.hpp"

#include <algorithm>

namespace sequoiaroute::jobs {

namespace {

/// Work survives outages of the store that last so long.
constexpr core::duration survived_outage{8000};
/// A longer lease only keeps a lost worker's room taken.
constexpr core::duration wanted_lease{6000};
/// Two reports may be missed before leases run out.
constexpr core::duration least_without_store{3000};
/// How much slower than true time an executor's clock may be.
constexpr double slowest_clock = 1.02;
/// A report may be sent so long before the decider's copy has it.
constexpr core::duration report_delay{1200};

} // namespace

core::duration lease_timing::lease() const
{
    return std::min(longest_lease, wanted_lease);
}

core::duration lease_timing::store_outage_tolerance() const
{
    return std::max(least_without_store, survived_outage - lease());
}

core::duration lease_timing::max_time_to_stop() const
{
    return core::duration(static_cast<core::duration::rep>(
               static_cast<double>(lease().count()) * slowest_clock)) +
           stop;
}

core::duration lease_timing::lost_after() const
{
    return store_outage_tolerance() + max_time_to_stop() + report_delay;
}

} // namespace sequoiaroute::jobs
