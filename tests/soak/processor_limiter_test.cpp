#include "soak/processor_limiter.hpp"

#include "support/manual_timers.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::soak {

namespace {

constexpr core::duration step{1};

class processor_limiter_test : public testing::Test
{
protected:
    /// Starts to limit two processes.
    void start(double share)
    {
        limiter_ = std::make_unique<processor_limiter>(timers_, share);
        limiter_->start({[this](bool value) { is_first_stopped_ = value; },
                         [this](bool value) { is_second_stopped_ = value; }});
    }

    support::manual_timers timers_;
    bool is_first_stopped_ = false;
    bool is_second_stopped_ = false;
    std::unique_ptr<processor_limiter> limiter_;
};

} // namespace

// Guards against processes that get more or less than their share, or all of it
// at the same time.
TEST_F(processor_limiter_test, gives_each_process_its_share_at_its_own_time)
{
    start(0.15);
    int first_turns = 0;
    int second_turns = 0;
    for (int elapsed = 0; elapsed < 1000; ++elapsed) {
        timers_.advance(step);
        first_turns += is_first_stopped_ ? 0 : 1;
        second_turns += is_second_stopped_ ? 0 : 1;
        EXPECT_TRUE(is_first_stopped_ || is_second_stopped_);
    }
    // A turn of the first process begins with the last step.
    EXPECT_NEAR(first_turns, 150, 1);
    EXPECT_EQ(second_turns, 150);
}

// Guards against a share that is rounded to no time at all.
TEST_F(processor_limiter_test, lets_processes_run_however_small_the_share)
{
    start(0.001);
    timers_.advance(core::duration(0));
    EXPECT_FALSE(is_first_stopped_);
    timers_.advance(step);
    EXPECT_TRUE(is_first_stopped_);
}

// Guards against limits in runs that ask for none.
TEST_F(processor_limiter_test, stops_no_process_that_may_have_a_whole_core)
{
    start(1);
    for (int elapsed = 0; elapsed < 300; ++elapsed) {
        timers_.advance(step);
        EXPECT_FALSE(is_first_stopped_ || is_second_stopped_);
    }
}

} // namespace sequoiaroute::soak
