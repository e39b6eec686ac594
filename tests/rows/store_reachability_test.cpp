#include "rows/store_reachability.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::rows {
namespace {

using namespace std::chrono_literals;

core::time_point at(core::duration time)
{
    return core::time_point(1000s) + time;
}

TEST(store_reachability, a_refusal_ends_it_and_an_answer_restores_it)
{
    store_reachability store;
    EXPECT_TRUE(store.is_reachable(at(0ms)));
    store.record_failure(store.record_sent(true, at(0ms)), at(1ms));
    EXPECT_FALSE(store.is_reachable(at(2ms)));
    store.record_answer(store.record_sent(true, at(3ms)), at(4ms));
    EXPECT_TRUE(store.is_reachable(at(5ms)));
}

TEST(store_reachability, silence_ends_it_before_a_call_times_out)
{
    store_reachability store;
    store.record_sent(true, at(0ms));
    store.record_sent(false, at(0ms));
    EXPECT_TRUE(store.is_reachable(at(400ms)));
    EXPECT_FALSE(store.is_reachable(at(600ms)));
}

// Load: a third of the answers are lost while others arrive.
TEST(store_reachability, single_lost_answers_do_not_end_it)
{
    store_reachability store;
    auto const lost = store.record_sent(true, at(0ms));
    store.record_answer(store.record_sent(true, at(100ms)), at(105ms));
    EXPECT_TRUE(store.is_reachable(at(600ms)));
    store.record_failure(lost, at(700ms));
    EXPECT_TRUE(store.is_reachable(at(701ms)));
}

// A call that the store may hold says nothing while it waits.
TEST(store_reachability, waiting_for_a_change_is_no_silence)
{
    store_reachability store;
    store.record_sent(false, at(0ms));
    EXPECT_TRUE(store.is_reachable(at(900ms)));
}

} // namespace
} // namespace sequoiaroute::rows
