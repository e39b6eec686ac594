#include "jobs/evacuation_timing.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::jobs {
namespace {

using namespace std::chrono_literals;

// Guards against runs that start after the bound although their orders were
// valid, and against orders that expire before they can reach an agent.
TEST(evacuation_timing, leaves_time_for_delivery_and_start)
{
    for (auto const bound : {500ms, 2000ms, 5000ms, 20'000ms}) {
        evacuation_timing const timing{bound};
        EXPECT_LT(timing.order_validity(), bound);
        EXPECT_LT(timing.max_knowledge_age(), timing.order_validity());
        EXPECT_GT(timing.max_knowledge_age(), 0ms);
    }
    EXPECT_EQ(evacuation_timing{5s}.order_validity(), 4s);
    EXPECT_FALSE(evacuation_timing{}.is_bounded());
}

} // namespace
} // namespace sequoiaroute::jobs
