#include "agents/filler_throttle.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::agents {
namespace {

using namespace std::chrono_literals;
using observed_run = filler_throttle::observed_run;

class filler_throttle_test : public testing::Test
{
public:
    /// Updates the throttle for one serving task and one filler.
    /// @return the filler's share in percent
    std::int32_t update(core::duration response_time)
    {
        std::vector<observed_run> runs{{serving, false, 100ms, response_time},
                                       {filler, true, 0ms, 0ms}};
        change_count += throttle.update(runs, now).size();
        now += 600ms;
        return throttle.share_of(filler);
    }

    jobs::run_id const serving{{"proofs", 0, 0, 0}, 1};
    jobs::run_id const filler{{"scans", 0, 0, 0}, 1};
    core::time_point now{1000s};
    filler_throttle throttle;
    std::size_t change_count = 0;
};

// A filler slows down the serving task beside it. Guards against a throttle
// that reacts so late that users get slow responses for more than four seconds.
TEST_F(filler_throttle_test, stops_fillers_soon_after_a_target_is_missed)
{
    auto const overload_began_at = now;
    while (update(150ms) > 0)
        ASSERT_LT(now - overload_began_at, 4s);
    EXPECT_LT(now - overload_began_at, 2500ms);
    EXPECT_TRUE(throttle.is_active());
}

TEST_F(filler_throttle_test, restores_fillers_while_responses_are_fast)
{
    while (update(150ms) > 0) {
    }
    EXPECT_EQ(update(90ms), 0);
    EXPECT_EQ(update(50ms), 10);
    for (int step = 0; step < 9; ++step)
        update(50ms);
    EXPECT_EQ(throttle.share_of(filler), 100);
}

// Guards against calls that set a limit which is already in force.
TEST_F(filler_throttle_test, returns_each_change_once)
{
    update(50ms);
    update(50ms);
    EXPECT_EQ(change_count, 0U);
    update(150ms);
    EXPECT_EQ(change_count, 1U);
    update(90ms);
    EXPECT_EQ(change_count, 1U);
    throttle.clear_applied_share(filler);
    update(90ms);
    EXPECT_EQ(change_count, 2U);
}

// Guards against fillers that stay throttled after the serving task has ended.
TEST_F(filler_throttle_test, lifts_the_limit_without_serving_tasks)
{
    while (update(150ms) > 0) {
    }
    std::vector<observed_run> const without_serving{{filler, true, 0ms, 0ms}};
    auto const changes = throttle.update(without_serving, now);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].percent, 100);
    EXPECT_FALSE(throttle.is_active());
}

} // namespace
} // namespace sequoiaroute::agents
