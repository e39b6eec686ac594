#include "agents/run_tracker.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::agents {
namespace {

using namespace std::chrono_literals;
using permission = run_tracker::start_permission;

class run_tracker_test : public testing::Test
{
public:
    run_tracker_test()
    {
        worker.executor = {"i-1", 1};
        worker.state = jobs::worker_state::ready;
        tracker.set_executor(worker);
        order.executor = worker.executor;
        order.run = {{"j", 0, 0, 0}, 1};
    }

    executor_snapshot snapshot() const
    {
        executor_snapshot result;
        result.is_ok = true;
        result.born_ms = worker.executor.born_ms;
        return result;
    }

    executor_snapshot snapshot_with_end(jobs::run_end end) const
    {
        auto result = snapshot();
        result.ended = {{1, {order.run, end, ""}}};
        return result;
    }

    /// @return the next action; the test fails unless there is exactly one
    run_tracker::action next_action()
    {
        auto const actions = tracker.next_actions(now, permission::granted);
        EXPECT_EQ(actions.size(), 1U);
        return actions.empty() ? run_tracker::action{} : actions[0];
    }

    void answer(run_tracker::action const& sent, order_outcome outcome)
    {
        tracker.receive_answer(sent, {outcome, std::nullopt, ""}, now);
    }

    core::time_point now{1000s};
    jobs::worker_description worker;
    jobs::run_order order;
    run_tracker tracker;
};

TEST_F(run_tracker_test, starts_a_run_and_reports_its_end)
{
    tracker.put_order(order, false);
    answer(next_action(), order_outcome::done);
    EXPECT_TRUE(tracker.next_actions(now, permission::granted).empty());
    tracker.receive_snapshot(snapshot_with_end(jobs::run_end::done), now + 1s);
    ASSERT_EQ(tracker.ended().size(), 1U);
    EXPECT_EQ(tracker.ended()[0].end, jobs::run_end::done);
    tracker.remove_order(order.run);
    EXPECT_TRUE(tracker.ended().empty());
}

// Guards against a task that runs twice after its agent was restarted. The
// executor refuses to start a run that has ended again, so a retried start
// would be reported as a refusal and the task would be ordered anew.
TEST_F(run_tracker_test, reads_a_snapshot_before_a_start_is_retried)
{
    tracker.put_order(order, true);
    EXPECT_TRUE(tracker.next_actions(now, permission::granted).empty());
    EXPECT_TRUE(tracker.needs_snapshot());
    tracker.receive_snapshot(snapshot_with_end(jobs::run_end::done), now);
    ASSERT_EQ(tracker.ended().size(), 1U);
    EXPECT_EQ(tracker.ended()[0].end, jobs::run_end::done);
}

// Guards against a lost end, and a task that runs twice: the executor has
// listed the end, and the report of an earlier process has taken the run as
// lost.
TEST_F(run_tracker_test, keeps_a_listed_end_over_that_of_an_earlier_report)
{
    tracker.put_order(order, true);
    tracker.receive_snapshot(snapshot_with_end(jobs::run_end::done), now);
    tracker.restore_end({order.run, jobs::run_end::lost, ""});
    ASSERT_EQ(tracker.ended().size(), 1U);
    EXPECT_EQ(tracker.ended()[0].end, jobs::run_end::done);
}

// Guards against a run that starts after the deadline of its order, when its
// data centre may have been evacuated.
TEST_F(run_tracker_test, does_not_start_an_expired_order)
{
    order.start_deadline = 5000ms;
    tracker.put_order(order, false);
    EXPECT_TRUE(tracker.expire_orders(5000ms).empty());
    EXPECT_EQ(tracker.expire_orders(5001ms).size(), 1U);
    EXPECT_TRUE(tracker.next_actions(now, permission::granted).empty());
    ASSERT_EQ(tracker.ended().size(), 1U);
    EXPECT_EQ(tracker.ended()[0].end, jobs::run_end::stopped);
}

// A start got no answer, and its order expires before it is repeated. Guards
// against a task that runs twice: the start may have taken effect.
TEST_F(run_tracker_test, stops_an_expired_order_that_may_have_started)
{
    order.start_deadline = 5000ms;
    tracker.put_order(order, false);
    answer(next_action(), order_outcome::unknown);
    now += 1s;
    EXPECT_EQ(tracker.expire_orders(6000ms).size(), 1U);
    auto const stop = next_action();
    EXPECT_EQ(stop.type, run_tracker::action::kind::stop);
    EXPECT_TRUE(tracker.ended().empty());
    answer(stop, order_outcome::done);
    tracker.receive_snapshot(snapshot(), now + 10ms);
    ASSERT_EQ(tracker.ended().size(), 1U);
    EXPECT_EQ(tracker.ended()[0].end, jobs::run_end::stopped);
}

// Guards against stopping work because the deadline of its start has passed.
TEST_F(run_tracker_test, keeps_a_run_that_started_before_its_deadline)
{
    order.start_deadline = 5000ms;
    tracker.put_order(order, false);
    auto const start = next_action();
    EXPECT_TRUE(tracker.expire_orders(6000ms).empty());
    answer(start, order_outcome::done);
    EXPECT_TRUE(tracker.expire_orders(6000ms).empty());
    auto running = snapshot();
    running.running = {{order.run, "", 10, 100, 0ms}};
    tracker.receive_snapshot(running, now + 10ms);
    EXPECT_TRUE(tracker.expire_orders(6000ms).empty());
    EXPECT_TRUE(tracker.next_actions(now, permission::granted).empty());
}

// Guards against reporting a refusal for a run whose end the executor lists.
TEST_F(run_tracker_test, reports_a_refusal_only_after_a_snapshot)
{
    tracker.put_order(order, false);
    answer(next_action(), order_outcome::refused);
    auto const stop = next_action();
    EXPECT_EQ(stop.type, run_tracker::action::kind::stop);
    answer(stop, order_outcome::done);
    EXPECT_TRUE(tracker.ended().empty());
    tracker.receive_snapshot(snapshot_with_end(jobs::run_end::done),
                             now + 10ms);
    ASSERT_EQ(tracker.ended().size(), 1U);
    EXPECT_EQ(tracker.ended()[0].end, jobs::run_end::done);
}

// Guards against a task that runs twice: its run has ended, but more runs have
// than the executor lists at once, and a start that is sent again is refused.
TEST_F(run_tracker_test, infers_nothing_from_a_list_without_all_ends)
{
    auto cut = snapshot();
    cut.has_all_ends = false;
    tracker.put_order(order, false);
    answer(next_action(), order_outcome::done);
    tracker.receive_snapshot(cut, now + 1s);
    EXPECT_TRUE(tracker.next_actions(now + 1s, permission::granted).empty());
    EXPECT_TRUE(tracker.ended().empty());
    tracker.receive_snapshot(snapshot_with_end(jobs::run_end::done), now + 2s);
    ASSERT_EQ(tracker.ended().size(), 1U);
    EXPECT_EQ(tracker.ended()[0].end, jobs::run_end::done);
}

// Guards against an end that is reported as a stop or a refusal, so that the
// task runs again, although the run was done before it was to be stopped.
TEST_F(run_tracker_test, confirms_no_stop_from_a_list_without_all_ends)
{
    auto cut = snapshot();
    cut.has_all_ends = false;
    tracker.put_order(order, false);
    answer(next_action(), order_outcome::done);
    order.is_stop_requested = true;
    tracker.put_order(order, false);
    answer(next_action(), order_outcome::done);
    tracker.receive_snapshot(cut, now + 1s);
    EXPECT_TRUE(tracker.ended().empty());
    EXPECT_TRUE(tracker.needs_snapshot());
    tracker.receive_snapshot(snapshot_with_end(jobs::run_end::done), now + 2s);
    ASSERT_EQ(tracker.ended().size(), 1U);
    EXPECT_EQ(tracker.ended()[0].end, jobs::run_end::done);
}

// Guards against a task that runs twice after a restart of the agent, if the
// first list that it reads does not have all ends.
TEST_F(run_tracker_test, retries_no_start_before_all_ends_are_listed)
{
    auto cut = snapshot();
    cut.has_all_ends = false;
    tracker.put_order(order, true);
    tracker.receive_snapshot(cut, now);
    EXPECT_TRUE(tracker.next_actions(now, permission::granted).empty());
    tracker.receive_snapshot(snapshot(), now);
    EXPECT_EQ(next_action().type, run_tracker::action::kind::start);
}

TEST_F(run_tracker_test, retries_an_unanswered_start)
{
    tracker.put_order(order, false);
    answer(next_action(), order_outcome::unknown);
    now += 50ms;
    EXPECT_EQ(next_action().type, run_tracker::action::kind::start);
}

// Guards against a run that is reported as stopped although its unanswered
// start takes effect later.
TEST_F(run_tracker_test, stops_a_run_whose_start_was_not_answered)
{
    tracker.put_order(order, false);
    answer(next_action(), order_outcome::unknown);
    order.is_stop_requested = true;
    tracker.put_order(order, false);
    now += 50ms;
    auto const stop = next_action();
    EXPECT_EQ(stop.type, run_tracker::action::kind::stop);
    tracker.receive_snapshot(snapshot(), now);
    EXPECT_TRUE(tracker.ended().empty());
    answer(stop, order_outcome::done);
    tracker.receive_snapshot(snapshot(), now - 1ms);
    EXPECT_TRUE(tracker.ended().empty());
    tracker.receive_snapshot(snapshot(), now + 1ms);
    ASSERT_EQ(tracker.ended().size(), 1U);
    EXPECT_EQ(tracker.ended()[0].end, jobs::run_end::stopped);
}

TEST_F(run_tracker_test, stops_an_unstarted_run_without_a_call)
{
    order.is_stop_requested = true;
    tracker.put_order(order, false);
    EXPECT_TRUE(tracker.next_actions(now, permission::granted).empty());
    EXPECT_EQ(tracker.ended().at(0).end, jobs::run_end::stopped);
}

// Guards against new work on an executor that is shutting down.
TEST_F(run_tracker_test, starts_nothing_on_a_draining_executor)
{
    worker.state = jobs::worker_state::draining;
    tracker.set_executor(worker);
    tracker.put_order(order, false);
    EXPECT_TRUE(tracker.next_actions(now, permission::granted).empty());
    EXPECT_EQ(tracker.ended().at(0).end, jobs::run_end::refused);
}

TEST_F(run_tracker_test, reports_runs_of_an_earlier_incarnation_as_lost)
{
    tracker.put_order(order, false);
    answer(next_action(), order_outcome::done);
    auto listing = snapshot();
    listing.running = {{order.run, "", 10, 100, 0ms}};
    tracker.receive_snapshot(listing, now);
    worker.executor.born_ms = 2;
    tracker.set_executor(worker);
    EXPECT_TRUE(tracker.next_actions(now, permission::granted).empty());
    EXPECT_FALSE(tracker.has_replaced_runs());
    EXPECT_EQ(tracker.ended().at(0).end, jobs::run_end::lost);
}

// Guards against a task that runs twice: the executor restarts under its id,
// and a start that was on its way takes effect on the new incarnation.
TEST_F(run_tracker_test, stops_a_run_that_may_have_started_after_a_restart)
{
    tracker.put_order(order, false);
    answer(next_action(), order_outcome::unknown);
    worker.executor.born_ms = 2;
    tracker.set_executor(worker);
    now += 1s;
    auto const stop = next_action();
    EXPECT_EQ(stop.type, run_tracker::action::kind::stop);
    EXPECT_TRUE(tracker.has_replaced_runs());
    answer(stop, order_outcome::done);
    tracker.receive_snapshot(snapshot(), now + 10ms);
    EXPECT_FALSE(tracker.has_replaced_runs());
    ASSERT_EQ(tracker.ended().size(), 1U);
    EXPECT_EQ(tracker.ended()[0].end, jobs::run_end::lost);
}

// Guards against a run that never ends, and whose task never runs again: the
// executor is replaced once more before the stop is confirmed, and the time of
// day has been set back in between.
TEST_F(run_tracker_test, ends_a_run_after_two_restarts_of_which_one_goes_back)
{
    worker.executor.born_ms = 100;
    order.executor = worker.executor;
    tracker.set_executor(worker);
    tracker.put_order(order, false);
    answer(next_action(), order_outcome::unknown);
    now += 1s;
    worker.executor.born_ms = 200;
    tracker.set_executor(worker);
    answer(next_action(), order_outcome::unknown);
    now += 1s;
    worker.executor.born_ms = 50;
    tracker.set_executor(worker);
    EXPECT_TRUE(tracker.has_replaced_runs());
    auto const stop = next_action();
    EXPECT_EQ(stop.type, run_tracker::action::kind::stop);
    answer(stop, order_outcome::done);
    tracker.receive_snapshot(snapshot(), now + 10ms);
    EXPECT_FALSE(tracker.has_replaced_runs());
    ASSERT_EQ(tracker.ended().size(), 1U);
    EXPECT_EQ(tracker.ended()[0].end, jobs::run_end::lost);
}

// Guards against the same when the agent restarts, and finds orders of both
// earlier incarnations.
TEST_F(run_tracker_test, ends_runs_of_two_incarnations_with_later_starts)
{
    order.executor.born_ms = 100;
    tracker.put_order(order, true);
    auto later = order;
    later.run.task.index = 1;
    later.executor.born_ms = 200;
    tracker.put_order(later, true);
    worker.executor = *tracker.newest_ordered_incarnation();
    tracker.set_executor(worker);
    tracker.set_executor_confirmed(false);
    worker.executor = {"i-2", 50};
    tracker.set_executor(worker);
    tracker.set_executor_confirmed(true);
    EXPECT_TRUE(tracker.next_actions(now, permission::granted).empty());
    EXPECT_FALSE(tracker.has_replaced_runs());
    ASSERT_EQ(tracker.ended().size(), 2U);
    EXPECT_EQ(tracker.ended()[0].end, jobs::run_end::lost);
    EXPECT_EQ(tracker.ended()[1].end, jobs::run_end::lost);
}

// Guards against two runs of a task: the current incarnation started before one
// that has ended, and its runs are taken as ended with that.
TEST_F(run_tracker_test, keeps_runs_of_a_start_before_that_of_an_ended_one)
{
    worker.executor.born_ms = 200;
    tracker.set_executor(worker);
    worker.executor.born_ms = 50;
    tracker.set_executor(worker);
    order.executor = worker.executor;
    tracker.put_order(order, false);
    answer(next_action(), order_outcome::done);
    auto listing = snapshot();
    listing.running = {{order.run, "", 10, 100, 0ms}};
    tracker.receive_snapshot(listing, now);
    EXPECT_FALSE(tracker.has_replaced_runs());
    EXPECT_EQ(tracker.running().size(), 1U);
    EXPECT_TRUE(tracker.next_actions(now, permission::granted).empty());
}

// Guards against taking the stop that the earlier incarnation confirmed as that
// of its successor.
TEST_F(run_tracker_test, stops_a_run_again_after_a_restart)
{
    tracker.put_order(order, false);
    answer(next_action(), order_outcome::unknown);
    order.is_stop_requested = true;
    tracker.put_order(order, false);
    now += 1s;
    auto const stop = next_action();
    worker.executor.born_ms = 2;
    tracker.set_executor(worker);
    answer(stop, order_outcome::done);
    tracker.receive_snapshot(snapshot(), now + 10ms);
    EXPECT_TRUE(tracker.ended().empty());
    EXPECT_EQ(next_action().type, run_tracker::action::kind::stop);
}

TEST_F(run_tracker_test, lists_runs_without_an_order)
{
    auto current = snapshot();
    current.running = {{order.run, "", 10}};
    tracker.receive_snapshot(current, now);
    EXPECT_EQ(tracker.runs_without_order().size(), 1U);
    tracker.put_order(order, true);
    tracker.receive_snapshot(current, now);
    EXPECT_TRUE(tracker.runs_without_order().empty());
}

// Guards against two runs of a task on one executor, and against one with more
// than its capacity: the decider takes a run as ended that is still there.
TEST_F(run_tracker_test, starts_nothing_beside_a_run_without_an_order)
{
    tracker.put_order(order, false);
    answer(next_action(), order_outcome::done);
    auto listing = snapshot();
    listing.running = {{order.run, "", 10, 100, 0ms}};
    tracker.receive_snapshot(listing, now);
    tracker.remove_order(order.run);
    auto next = order;
    next.run.run = 2;
    tracker.put_order(next, false);
    EXPECT_TRUE(tracker.next_actions(now, permission::granted).empty());
    EXPECT_TRUE(tracker.needs_snapshot());
    tracker.receive_snapshot(listing, now + 100ms);
    EXPECT_TRUE(tracker.next_actions(now, permission::granted).empty());
    tracker.receive_snapshot(snapshot_with_end(jobs::run_end::stopped),
                             now + 200ms);
    EXPECT_EQ(next_action().order.run, next.run);
}

// Guards against a task that runs twice, and against more runs than an executor
// has room for: a run that was reported as ended is running after all.
TEST_F(run_tracker_test, clears_a_run_that_is_listed_after_its_end)
{
    order.is_stop_requested = true;
    tracker.put_order(order, false);
    tracker.next_actions(now, permission::granted);
    ASSERT_EQ(tracker.ended().size(), 1U);
    auto current = snapshot();
    current.running = {{order.run, "", 10}};
    tracker.receive_snapshot(current, now);
    EXPECT_EQ(tracker.runs_without_order().size(), 1U);
    auto next_order = order;
    next_order.is_stop_requested = false;
    next_order.run.run = 2;
    tracker.put_order(next_order, false);
    EXPECT_TRUE(tracker.next_actions(now, permission::granted).empty());
    tracker.receive_snapshot(snapshot(), now + 10ms);
    EXPECT_EQ(next_action().type, run_tracker::action::kind::start);
}

// Guards against a run that is reported as lost, and run again elsewhere,
// because its order arrived before the first heartbeat of the incarnation that
// it names.
TEST_F(run_tracker_test, waits_for_an_incarnation_newer_than_the_current_one)
{
    order.executor = {"i-1", 5};
    tracker.put_order(order, true);
    EXPECT_EQ(tracker.newest_ordered_incarnation(), order.executor);
    EXPECT_TRUE(tracker.next_actions(now, permission::granted).empty());
    EXPECT_TRUE(tracker.ended().empty());
    worker.executor = {"i-1", 9};
    tracker.set_executor(worker);
    // An earlier process of the agent may have sent its start.
    answer(next_action(), order_outcome::done);
    tracker.receive_snapshot(snapshot(), now + 10ms);
    ASSERT_EQ(tracker.ended().size(), 1U);
    EXPECT_EQ(tracker.ended().at(0).end, jobs::run_end::lost);
}

// Guards against a start that reaches a later incarnation of the executor.
TEST_F(run_tracker_test, defers_starts_until_the_incarnation_is_confirmed)
{
    tracker.put_order(order, false);
    EXPECT_FALSE(tracker.needs_snapshot());
    EXPECT_TRUE(
        tracker.next_actions(now, permission::incarnation_unconfirmed).empty());
    EXPECT_TRUE(tracker.needs_snapshot());
    EXPECT_EQ(next_action().type, run_tracker::action::kind::start);
    EXPECT_FALSE(tracker.needs_snapshot());
}

} // namespace
} // namespace sequoiaroute::agents
