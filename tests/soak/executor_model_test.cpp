#include "soak/executor_model.hpp"

#include "support/manual_clock.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::soak {

namespace {

constexpr core::duration max_lease{2000};
/// Beyond the longest lease, also by the executor's slow clock.
constexpr core::duration over_max_lease{2100};
constexpr std::int64_t far_deadline_ms = 1'000'000;

class executor_model_test : public testing::Test
{
protected:
    executor_model_test() { model_.begin_incarnation(); }

    /// Starts a run of a job with one step of two tasks, a gang.
    void start_member(std::int32_t index) { start_member(index, model_); }

    void start_member(std::int32_t index, executor_model& executor)
    {
        task_plan plan;
        plan.gang_size = 2;
        plan.work_time = core::duration(60'000);
        checker_.jobs()["job"].payload = plan.payload();
        executor.start({{"job", 0, 0, index}, 1}, plan.payload(),
                       far_deadline_ms);
    }

    void advance(core::duration step)
    {
        clock_.advance(step);
        model_.advance();
    }

    support::manual_clock clock_;
    invariant_checker checker_{clock_};
    gang_registry gangs_;
    executor_model model_{"i-1",  "agent-1", {},    max_lease,
                          clock_, checker_,  gangs_};
};

} // namespace

// Guards against leases that protect runs for longer than an executor would.
TEST_F(executor_model_test, grants_no_lease_longer_than_its_limit)
{
    start_member(0);
    start_member(1);
    advance(over_max_lease);
    advance(core::duration(1));
    ASSERT_EQ(model_.ends().size(), 2U);
    EXPECT_EQ(model_.ends().front().outcome, jobs::run_end::lapsed);
}

// Guards against gangs whose stopped members vanish before they have stopped.
TEST_F(executor_model_test, takes_the_whole_time_to_stop_a_member_of_a_gang)
{
    start_member(0);
    start_member(1);
    advance(core::duration(100));
    model_.stop_time = core::duration(100);
    model_.stop({{"job", 0, 0, 0}, 1});
    model_.stop_time = core::duration(300);
    model_.stop({{"job", 0, 0, 1}, 1});
    advance(core::duration(110));
    ASSERT_EQ(model_.ends().size(), 1U);
    advance(core::duration(180));
    EXPECT_EQ(model_.running().size(), 1U);
    advance(core::duration(20));
    ASSERT_EQ(model_.ends().size(), 2U);
    EXPECT_EQ(model_.ends().back().outcome, jobs::run_end::stopped);
}

// Guards against a simulation in which a cut does not separate the members of a
// gang: the one that is cut off runs on when another one ends.
TEST_F(executor_model_test, runs_on_in_a_gang_from_which_it_is_cut_off)
{
    executor_model other{"i-2",  "agent-2", {},    max_lease,
                         clock_, checker_,  gangs_};
    other.begin_incarnation();
    start_member(0);
    start_member(1, other);
    advance(core::duration(100));
    other.advance();
    other.is_cut_off_from_gangs = true;
    model_.end_incarnation();
    other.advance();
    EXPECT_EQ(other.running().size(), 1U);
    other.is_cut_off_from_gangs = false;
    other.advance();
    EXPECT_TRUE(other.running().empty());
}

} // namespace sequoiaroute::soak
