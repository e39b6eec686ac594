#include "rows/store_reachability.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::rows {
namespace {

using namespace std::chrono_literals;

core::time_point at(core::duration time)
{
    return core::time_point(1000s) + time;
}

TEST(store_reachability, is_unreachable_from_a_failure_until_a_success)
{
    store_reachability reachability;
    EXPECT_TRUE(reachability.is_reachable(at(0ms)));
    reachability.record_failure(reachability.record_sent(true, at(0ms)),
                                at(1ms));
    EXPECT_FALSE(reachability.is_reachable(at(2ms)));
    reachability.record_success(reachability.record_sent(true, at(3ms)),
                                at(4ms));
    EXPECT_TRUE(reachability.is_reachable(at(5ms)));
}

TEST(store_reachability, is_unreachable_before_an_unanswered_call_times_out)
{
    store_reachability reachability;
    reachability.record_sent(true, at(0ms));
    reachability.record_sent(false, at(0ms));
    EXPECT_TRUE(reachability.is_reachable(at(400ms)));
    EXPECT_FALSE(reachability.is_reachable(at(600ms)));
}

// A third of the responses get lost while the others arrive. Guards against
// taking this for an outage.
TEST(store_reachability, stays_reachable_after_a_lost_response)
{
    store_reachability reachability;
    auto const unanswered = reachability.record_sent(true, at(0ms));
    reachability.record_success(reachability.record_sent(true, at(100ms)),
                                at(105ms));
    EXPECT_TRUE(reachability.is_reachable(at(600ms)));
    reachability.record_failure(unanswered, at(700ms));
    EXPECT_TRUE(reachability.is_reachable(at(701ms)));
}

// Guards against taking a long poll that waits for a change for an outage.
TEST(store_reachability, stays_reachable_during_a_long_poll)
{
    store_reachability reachability;
    reachability.record_sent(false, at(0ms));
    EXPECT_TRUE(reachability.is_reachable(at(900ms)));
}

} // namespace
} // namespace sequoiaroute::rows
