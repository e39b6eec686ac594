#include "rows/store_clock.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::rows {
namespace {

using namespace std::chrono_literals;

// Guards against a time that lags by as much as one answer was delayed: reports
// would seem to be older than they are.
TEST(store_clock, is_not_set_back_by_a_delayed_answer)
{
    core::time_point const start{100s};
    store_clock clock(store_clock::side::early);
    EXPECT_EQ(clock.time(start), 0ms);
    clock.record(7000ms, start, start + 10ms);
    EXPECT_EQ(clock.time(start + 10ms), 7000ms);
    clock.record(8000ms, start + 1s, start + 4s);
    EXPECT_EQ(clock.time(start + 4s), 10'990ms);
}

// Guards against a time that is set back by an answer without one.
TEST(store_clock, ignores_an_answer_without_a_time)
{
    core::time_point const start{100s};
    store_clock clock(store_clock::side::early);
    clock.record(0ms, start, start + 10ms);
    EXPECT_EQ(clock.time(start + 10ms), 0ms);
    clock.record(7000ms, start, start + 10ms);
    clock.record(0ms, start + 1s, start + 1s + 10ms);
    EXPECT_EQ(clock.time(start + 10ms), 7000ms);
}

// Guards against an agent that counts as lost too early: its first report is
// dated by an answer that its process has handled seconds late.
TEST(store_clock, is_never_early_if_it_estimates_late)
{
    core::time_point const start{100s};
    store_clock clock(store_clock::side::late);
    clock.record(7000ms, start, start + 3s);
    EXPECT_EQ(clock.time(start + 3s), 10'000ms);
    clock.record(8000ms, start + 3s, start + 3s + 10ms);
    EXPECT_EQ(clock.time(start + 3s + 10ms), 8010ms);
    clock.record(9000ms, start + 4s, start + 6s);
    EXPECT_EQ(clock.time(start + 6s), 11'000ms);
}

TEST(store_clock, is_corrected_by_an_answer_that_contradicts_it)
{
    core::time_point const start{100s};
    store_clock clock(store_clock::side::early);
    clock.record(7000ms, start, start + 3s);
    clock.record(10'500ms, start + 3s, start + 3s + 10ms);
    EXPECT_EQ(clock.time(start + 3s + 10ms), 10'500ms);
    clock.record(11'000ms, start + 4s, start + 4s + 10ms);
    EXPECT_EQ(clock.time(start + 4s + 10ms), 11'010ms);
}

} // namespace
} // namespace sequoiaroute::rows
