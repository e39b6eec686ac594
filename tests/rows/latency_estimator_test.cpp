#include "rows/latency_estimator.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::rows {
namespace {

using namespace std::chrono_literals;

// Load: the store takes 400 ms in place of 5 ms, and answers again as before.
TEST(latency_estimator, waits_longer_while_the_store_is_slow)
{
    latency_estimator time;
    EXPECT_EQ(time.timeout(), 500ms);
    time.record(400ms);
    EXPECT_GE(time.timeout(), 1600ms);
    for (int count = 0; count < 20; ++count)
        time.record(5ms);
    EXPECT_EQ(time.timeout(), 500ms);
}

// Guards against calls that are given up again and again just before their
// answer.
TEST(latency_estimator, grows_with_each_silence_up_to_a_bound)
{
    latency_estimator time;
    time.record_silence();
    auto const first = time.timeout();
    time.record_silence();
    EXPECT_GT(time.timeout(), first);
    for (int count = 0; count < 10; ++count)
        time.record_silence();
    EXPECT_LE(time.timeout(), 3s);
}

} // namespace
} // namespace sequoiaroute::rows
