#include "rows/latency_estimator.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::rows {
namespace {

using namespace std::chrono_literals;

// The response time of the store rises from 5 ms to 400 ms and falls again.
TEST(latency_estimator, raises_the_timeout_while_the_store_is_slow)
{
    latency_estimator estimator;
    EXPECT_EQ(estimator.timeout(), 500ms);
    estimator.record(400ms);
    EXPECT_GE(estimator.timeout(), 1600ms);
    for (int count = 0; count < 20; ++count)
        estimator.record(5ms);
    EXPECT_EQ(estimator.timeout(), 500ms);
}

// Guards against calls that repeatedly time out just before their response.
TEST(latency_estimator, raises_the_timeout_after_each_timeout_up_to_a_limit)
{
    latency_estimator estimator;
    estimator.record_timeout();
    auto const first = estimator.timeout();
    estimator.record_timeout();
    EXPECT_GT(estimator.timeout(), first);
    for (int count = 0; count < 10; ++count)
        estimator.record_timeout();
    EXPECT_LE(estimator.timeout(), 3s);
}

} // namespace
} // namespace sequoiaroute::rows
