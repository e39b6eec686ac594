#include "scheduler/urgent_headroom.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::scheduler {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t capacity = 80;

class urgent_headroom_test : public testing::Test
{
public:
    void observe(std::int64_t accelerators, core::duration passed = 1s)
    {
        now += passed;
        headroom.observe("s", accelerators, now);
    }

    core::time_point now{1000s};
    urgent_headroom headroom;
};

// Guards against non-urgent work that, between two urgent gangs, takes the
// accelerators that the next one needs.
TEST_F(urgent_headroom_test, keeps_the_recent_peak_of_urgent_work_free)
{
    EXPECT_EQ(headroom.accelerators_to_keep_free("s", capacity), 0);
    observe(16);
    EXPECT_EQ(headroom.accelerators_to_keep_free("s", capacity), 0);
    observe(4);
    EXPECT_EQ(headroom.accelerators_to_keep_free("s", capacity), 12);
    observe(0);
    EXPECT_EQ(headroom.accelerators_to_keep_free("s", capacity), 16);
    EXPECT_EQ(headroom.accelerators_to_keep_free("other", capacity), 0);
}

// Guards against workers that stay idle long after a burst of urgent work.
TEST_F(urgent_headroom_test, drops_a_peak_after_its_window)
{
    observe(16);
    observe(0, 9s);
    EXPECT_EQ(headroom.accelerators_to_keep_free("s", capacity), 0);
}

// Guards against non-urgent work that starves after one large burst.
TEST_F(urgent_headroom_test, keeps_at_most_a_quarter_of_the_capacity_free)
{
    observe(200);
    observe(0);
    EXPECT_EQ(headroom.accelerators_to_keep_free("s", capacity), 20);
}

} // namespace
} // namespace sequoiaroute::scheduler
