#include "agents/filler_throttle.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::agents {
namespace {

using namespace std::chrono_literals;
using subject = filler_throttle::subject;

class filler_throttle_test : public testing::Test
{
public:
    /// @return the share of the filler after an update
    std::int32_t update(core::duration response_time)
    {
        std::vector<subject> subjects{{serving, false, 100ms, response_time},
                                      {filler, true, 0ms, 0ms}};
        change_count += controller.update(subjects, now).size();
        now += 600ms;
        return controller.share_of(filler);
    }

    jobs::run_id const serving{{"proofs", 0, 0, 0}, 1};
    jobs::run_id const filler{{"scans", 0, 0, 0}, 1};
    core::time_point now{1000s};
    filler_throttle controller;
    std::size_t change_count = 0;
};

// Load: a filler slows the answers of the task beside it. Guards against users
// who wait for longer than four seconds because of it.
TEST_F(filler_throttle_test, takes_everything_from_fillers_within_two_seconds)
{
    auto const begin = now;
    while (update(150ms) > 0)
        ASSERT_LT(now - begin, 4s);
    EXPECT_LT(now - begin, 2500ms);
    EXPECT_TRUE(controller.is_needed());
}

TEST_F(filler_throttle_test, gives_it_back_while_answers_are_fast)
{
    while (update(150ms) > 0) {
    }
    EXPECT_EQ(update(90ms), 0);
    EXPECT_EQ(update(50ms), 10);
    for (int step = 0; step < 9; ++step)
        update(50ms);
    EXPECT_EQ(controller.share_of(filler), 100);
}

// Guards against calls that set what is set already.
TEST_F(filler_throttle_test, sets_a_share_once)
{
    update(50ms);
    update(50ms);
    EXPECT_EQ(change_count, 0U);
    update(150ms);
    EXPECT_EQ(change_count, 1U);
    update(90ms);
    EXPECT_EQ(change_count, 1U);
    controller.forget(filler);
    update(90ms);
    EXPECT_EQ(change_count, 2U);
}

// Guards against fillers that stay slow after the serving task has left.
TEST_F(filler_throttle_test, leaves_fillers_alone_without_serving_tasks)
{
    while (update(150ms) > 0) {
    }
    std::vector<subject> const alone{{filler, true, 0ms, 0ms}};
    auto const changes = controller.update(alone, now);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].percent, 100);
    EXPECT_FALSE(controller.is_needed());
}

} // namespace
} // namespace sequoiaroute::agents
