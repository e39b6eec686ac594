#include "agents/executor_announcement.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::agents {
namespace {

using namespace std::chrono_literals;

executor_announcement::heartbeat make_heartbeat(std::int64_t born_ms,
                                                std::int64_t sequence)
{
    executor_announcement::heartbeat received;
    received.worker.executor = {"i-1", born_ms};
    received.sequence = sequence;
    return received;
}

// Guards against lists from before the heartbeat that confirm or refute it,
// since the executor may have been replaced after them.
TEST(executor_announcement_test, is_decided_by_later_lists_only)
{
    executor_announcement announced;
    EXPECT_FALSE(announced.is_refuted_by(core::time_point(5s)));
    announced.record(make_heartbeat(3, 1), core::time_point(4s));
    EXPECT_FALSE(announced.is_refuted_by(core::time_point(3s)));
    EXPECT_FALSE(announced.is_confirmed_by(3, core::time_point(3s)));
    EXPECT_TRUE(announced.is_refuted_by(core::time_point(4s)));
    EXPECT_TRUE(announced.is_confirmed_by(3, core::time_point(4s)));
    EXPECT_FALSE(announced.is_confirmed_by(2, core::time_point(4s)));
}

// Guards against a heartbeat that is never refuted, because its sender repeats
// it before the lists arrive.
TEST(executor_announcement_test, is_refuted_in_spite_of_repetitions)
{
    executor_announcement announced;
    announced.record(make_heartbeat(3, 1), core::time_point(4s));
    announced.record(make_heartbeat(3, 2), core::time_point(6s));
    EXPECT_TRUE(announced.is_refuted_by(core::time_point(5s)));
    auto const kept = announced.take();
    ASSERT_TRUE(kept);
    EXPECT_EQ(kept->sequence, 2);
    EXPECT_FALSE(announced.is_pending());
}

} // namespace
} // namespace sequoiaroute::agents
