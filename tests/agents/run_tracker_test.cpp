#include "agents/run_tracker.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::agents {
namespace {

using namespace std::chrono_literals;

class run_tracker_test : public testing::Test
{
public:
    run_tracker_test()
    {
        worker.executor = {"i-1", 1};
        worker.state = jobs::worker_state::ready;
        book.set_executor(worker);
        order.executor = worker.executor;
        order.run = {{"j", 0, 0, 0}, 1};
    }

    executor_snapshot lists() const
    {
        executor_snapshot result;
        result.is_ok = true;
        result.born_ms = worker.executor.born_ms;
        return result;
    }

    executor_snapshot lists_with_end(jobs::run_end end) const
    {
        auto result = lists();
        result.ended = {{1, {order.run, end, ""}}};
        return result;
    }

    /// @return the only action; fails the test if there is not exactly one
    run_tracker::action next()
    {
        auto const actions = book.next_actions(now, true);
        EXPECT_EQ(actions.size(), 1U);
        return actions.empty() ? run_tracker::action{} : actions[0];
    }

    void answer(run_tracker::action const& sent, order_outcome outcome)
    {
        book.receive_answer(sent, {outcome, std::nullopt, ""}, now);
    }

    core::time_point now{1000s};
    jobs::worker_description worker;
    jobs::run_order order;
    run_tracker book;
};

TEST_F(run_tracker_test, starts_a_run_and_reports_its_end)
{
    book.put(order, false);
    answer(next(), order_outcome::done);
    EXPECT_TRUE(book.next_actions(now, true).empty());
    book.receive(lists_with_end(jobs::run_end::done), now + 1s);
    ASSERT_EQ(book.ended().size(), 1U);
    EXPECT_EQ(book.ended()[0].end, jobs::run_end::done);
    book.remove(order.run);
    EXPECT_TRUE(book.ended().empty());
}

// Guards against a task that runs twice after its agent was restarted: the
// executor refuses the repeated start of a run that has ended.
TEST_F(run_tracker_test, reads_the_lists_before_a_start_is_repeated)
{
    book.put(order, true);
    EXPECT_TRUE(book.next_actions(now, true).empty());
    EXPECT_TRUE(book.needs_lists());
    book.receive(lists_with_end(jobs::run_end::done), now);
    ASSERT_EQ(book.ended().size(), 1U);
    EXPECT_EQ(book.ended()[0].end, jobs::run_end::done);
}

// Guards against a refusal that hides an end which is listed.
TEST_F(run_tracker_test, reports_a_refusal_only_after_the_lists)
{
    book.put(order, false);
    answer(next(), order_outcome::refused);
    auto const stop = next();
    EXPECT_EQ(stop.what, run_tracker::action::kind::stop);
    answer(stop, order_outcome::done);
    EXPECT_TRUE(book.ended().empty());
    book.receive(lists_with_end(jobs::run_end::done), now + 10ms);
    ASSERT_EQ(book.ended().size(), 1U);
    EXPECT_EQ(book.ended()[0].end, jobs::run_end::done);
}

TEST_F(run_tracker_test, repeats_a_start_without_an_answer)
{
    book.put(order, false);
    answer(next(), order_outcome::unknown);
    now += 50ms;
    EXPECT_EQ(next().what, run_tracker::action::kind::start);
}

// Guards against a run that is taken for stopped and then carried out late.
TEST_F(run_tracker_test, stops_a_run_whose_start_had_no_answer)
{
    book.put(order, false);
    answer(next(), order_outcome::unknown);
    order.is_to_stop = true;
    book.put(order, false);
    now += 50ms;
    auto const stop = next();
    EXPECT_EQ(stop.what, run_tracker::action::kind::stop);
    book.receive(lists(), now);
    EXPECT_TRUE(book.ended().empty());
    answer(stop, order_outcome::done);
    book.receive(lists(), now - 1ms);
    EXPECT_TRUE(book.ended().empty());
    book.receive(lists(), now + 1ms);
    ASSERT_EQ(book.ended().size(), 1U);
    EXPECT_EQ(book.ended()[0].end, jobs::run_end::stopped);
}

TEST_F(run_tracker_test, needs_no_call_to_stop_what_was_never_started)
{
    order.is_to_stop = true;
    book.put(order, false);
    EXPECT_TRUE(book.next_actions(now, true).empty());
    EXPECT_EQ(book.ended().at(0).end, jobs::run_end::stopped);
}

// Guards against new work on an executor that leaves.
TEST_F(run_tracker_test, starts_nothing_on_a_draining_executor)
{
    worker.state = jobs::worker_state::draining;
    book.set_executor(worker);
    book.put(order, false);
    EXPECT_TRUE(book.next_actions(now, true).empty());
    EXPECT_EQ(book.ended().at(0).end, jobs::run_end::refused);
}

TEST_F(run_tracker_test, takes_runs_of_an_earlier_life_for_lost)
{
    book.put(order, false);
    answer(next(), order_outcome::done);
    worker.executor.born_ms = 2;
    book.set_executor(worker);
    EXPECT_TRUE(book.next_actions(now, true).empty());
    EXPECT_EQ(book.ended().at(0).end, jobs::run_end::lost);
}

TEST_F(run_tracker_test, names_runs_that_nobody_ordered)
{
    auto shown = lists();
    shown.running = {{order.run, "", 10}};
    book.receive(shown, now);
    EXPECT_EQ(book.unordered().size(), 1U);
    book.put(order, true);
    book.receive(shown, now);
    EXPECT_TRUE(book.unordered().empty());
}

// Guards against a run that is reported as lost, and run again elsewhere,
// before the life of the executor that it is for has announced itself.
TEST_F(run_tracker_test, waits_for_a_life_that_is_newer_than_the_one_known)
{
    order.executor = {"i-1", 5};
    book.put(order, true);
    EXPECT_EQ(book.newest_executor(), order.executor);
    EXPECT_TRUE(book.next_actions(now, true).empty());
    EXPECT_TRUE(book.ended().empty());
    worker.executor = {"i-1", 9};
    book.set_executor(worker);
    book.next_actions(now, true);
    ASSERT_EQ(book.ended().size(), 1U);
    EXPECT_EQ(book.ended().at(0).end, jobs::run_end::lost);
}

// Guards against a start that reaches a later life of the executor.
TEST_F(run_tracker_test, holds_starts_back_until_the_executor_was_seen)
{
    book.put(order, false);
    EXPECT_FALSE(book.needs_lists());
    EXPECT_TRUE(book.next_actions(now, false).empty());
    EXPECT_TRUE(book.needs_lists());
    EXPECT_EQ(next().what, run_tracker::action::kind::start);
    EXPECT_FALSE(book.needs_lists());
}

} // namespace
} // namespace sequoiaroute::agents
