#include "agents/executor_lease.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::agents {
namespace {

using namespace std::chrono_literals;

class executor_lease_test : public testing::Test
{
public:
    core::time_point now{1000s};
    jobs::lease_timing timing{6s, 1s};
    executor_lease lease{timing};
};

TEST_F(executor_lease_test, is_not_extended_without_clock_or_store_contact)
{
    EXPECT_FALSE(lease.extend(now));
    lease.record_clock(5000, now);
    EXPECT_FALSE(lease.extend(now));
    lease.record_store_contact(now);
    EXPECT_EQ(lease.extend(now), 11'000);
    EXPECT_FALSE(lease.extend(now + timing.store_outage_tolerance()));
}

// Guards against a lease that outlasts the time after which its runs count as
// ended: the executor's clock is two percent slow, and was read a while ago.
TEST_F(executor_lease_test, expires_in_time_on_a_slow_clock)
{
    lease.record_clock(0, now);
    auto const sent_at = now + 2500ms;
    lease.record_store_contact(sent_at);
    auto const end_ms = lease.extend(sent_at);
    ASSERT_TRUE(end_ms);
    core::duration const true_end(*end_ms * 102 / 100);
    EXPECT_LE(now + true_end, sent_at + timing.max_time_to_stop() - 1s);
}

TEST_F(executor_lease_test, has_expired_only_after_the_last_extension)
{
    lease.record_clock(0, now);
    lease.record_store_contact(now);
    EXPECT_FALSE(lease.has_expired(now + 60s));
    lease.extend(now);
    lease.extend(now + 2s);
    EXPECT_FALSE(lease.has_expired(now + 2s + timing.max_time_to_stop()));
    EXPECT_TRUE(lease.has_expired(now + 2s + timing.max_time_to_stop() + 1ms));
    lease.end();
    EXPECT_FALSE(lease.has_expired(now + 60s));
}

} // namespace
} // namespace sequoiaroute::agents
