#include "scheduler/urgent_reserve.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::scheduler {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t capacity = 80;

class urgent_reserve_test : public testing::Test
{
public:
    void observe(std::int64_t accelerators, core::duration passed = 1s)
    {
        now += passed;
        reserve.observe("s", accelerators, now);
    }

    core::time_point now{1000s};
    urgent_reserve reserve;
};

// Load: urgent gangs come and go; between two of them patient work would fill
// the room that the next one needs.
TEST_F(urgent_reserve_test, keeps_what_urgent_work_used_lately)
{
    EXPECT_EQ(reserve.wanted("s", capacity), 0);
    observe(16);
    EXPECT_EQ(reserve.wanted("s", capacity), 0);
    observe(4);
    EXPECT_EQ(reserve.wanted("s", capacity), 12);
    observe(0);
    EXPECT_EQ(reserve.wanted("s", capacity), 16);
    EXPECT_EQ(reserve.wanted("other", capacity), 0);
}

// Guards against workers that stay idle long after a burst.
TEST_F(urgent_reserve_test, forgets_a_peak_after_some_seconds)
{
    observe(16);
    observe(0, 9s);
    EXPECT_EQ(reserve.wanted("s", capacity), 0);
}

// Guards against patient work that starves because of one large burst.
TEST_F(urgent_reserve_test, leaves_three_quarters_to_patient_work)
{
    observe(200);
    observe(0);
    EXPECT_EQ(reserve.wanted("s", capacity), 20);
}

} // namespace
} // namespace sequoiaroute::scheduler
