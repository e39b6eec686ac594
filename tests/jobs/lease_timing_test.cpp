#include "jobs/lease_timing.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::jobs {
namespace {

using namespace std::chrono_literals;

// Guards against a second run of a task while the lease of its first one may
// still be valid, and against runs that are lost to an eight-second outage of
// the store.
TEST(lease_timing, tolerates_outages_and_exceeds_every_lease)
{
    for (auto const lease : {core::duration(2s), core::duration(6s),
                             core::duration(10s), core::duration(30s)}) {
        lease_timing const timing{lease, 900ms};
        EXPECT_LE(timing.lease(), lease);
        EXPECT_GE(timing.store_outage_tolerance() + timing.lease(), 8s);
        EXPECT_GE(timing.store_outage_tolerance(), 3s);
        EXPECT_GT(timing.max_time_to_stop(), timing.lease() * 102 / 100);
        EXPECT_GT(timing.lost_after(), timing.store_outage_tolerance() +
                                           timing.lease() * 102 / 100 + 900ms);
    }
}

} // namespace
} // namespace sequoiaroute::jobs
