#include "agents/agent_service_fixture.hpp"

namespace sequoiaroute::agents {
namespace {

using namespace std::chrono_literals;
using support::memory_row_store;

// Guards against giving up a machine that was only silent for a while.
TEST_F(agent_service_test, uses_an_executor_again_that_was_only_silent)
{
    begin();
    executor.is_silent = true;
    cut_store();
    timers.advance(12s);
    restore_store();
    timers.advance(1s);
    ASSERT_EQ(report().worker.state, jobs::worker_state::gone);
    executor.is_silent = false;
    heartbeat(jobs::worker_state::ready);
    put_order(make_order(0));
    timers.advance(2s);
    EXPECT_EQ(report().worker.state, jobs::worker_state::ready);
    EXPECT_EQ(executor.running.size(), 1U);
}

// Guards against a task that runs twice: a start reaches the executor after it
// has restarted under its id, and the decider takes the run as lost as soon as
// it knows of the restart.
TEST_F(agent_service_test, stops_earlier_starts_before_it_reports_a_restart)
{
    begin();
    auto const order = make_order(0);
    executor.born_ms = 2;
    put_order(order);
    while (!executor.running.contains(order.run))
        timers.advance(1ms);
    heartbeat(jobs::worker_state::ready, 2);
    auto const limit = timers.now() + 5s;
    while (report().worker.executor.born_ms == 1 && timers.now() < limit)
        timers.advance(1ms);
    EXPECT_EQ(report().worker.executor.born_ms, 2);
    EXPECT_TRUE(executor.running.empty());
    ASSERT_EQ(report().ended.size(), 1U);
    EXPECT_EQ(report().ended[0].run, order.run);
}

// Guards against a lost end, and a task that runs twice: the report of the
// previous incarnation's ends is being stored while the executor restarts.
TEST_F(agent_service_test, acknowledges_no_end_of_the_next_incarnation)
{
    begin();
    for (std::int32_t index = 0; index < 3; ++index)
        put_order(make_order(index));
    timers.advance(200ms);
    for (std::int32_t index = 0; index < 3; ++index)
        executor.end(make_order(index).run, jobs::run_end::done);
    auto const commits = store.commit_count;
    while (store.commit_count == commits)
        timers.advance(1ms);
    executor.born_ms = 2;
    executor.ended.clear();
    executor.highest_acknowledged = 0;
    heartbeat(jobs::worker_state::ready, 2);
    timers.advance(1ms);
    store.next_commits = memory_row_store::fault::refused;
    timers.advance(500ms);
    EXPECT_EQ(executor.highest_acknowledged, 0);
}

// Guards against a lost end, and a task that runs twice: the executor has
// restarted, and is polled before its first heartbeat arrives.
TEST_F(agent_service_test, sends_no_acknowledgement_to_a_restarted_executor)
{
    begin();
    put_order(make_order(0));
    timers.advance(100ms);
    executor.end(make_order(0).run, jobs::run_end::done);
    timers.advance(200ms);
    ASSERT_EQ(executor.highest_acknowledged, 1);
    executor.is_refusing = true;
    timers.advance(400ms);
    executor.is_refusing = false;
    executor.born_ms = 2;
    executor.highest_acknowledged = 0;
    executor.lease_end_ms = 0;
    timers.advance(1s);
    EXPECT_EQ(executor.highest_acknowledged, 0);
    EXPECT_EQ(executor.lease_end_ms, 0);
    heartbeat(jobs::worker_state::ready, 2);
    timers.advance(1s);
    EXPECT_GT(executor.lease_end_ms, executor.clock_ms());
}

// Guards against a lease that is far too long, because its end is computed from
// the clock of the previous incarnation.
TEST_F(agent_service_test, ignores_the_clock_of_a_replaced_executor)
{
    begin();
    executor.is_silent = true;
    timers.advance(100ms);
    executor.clock_offset_ms = 1'000'000;
    announce_order(make_order(0));
    executor.clock_offset_ms = 0;
    executor.lease_end_ms = 0;
    executor.born_ms = 2;
    heartbeat(jobs::worker_state::ready, 2);
    timers.advance(3s);
    EXPECT_LE(executor.lease_end_ms, executor.clock_ms() + 6000);
}

// Guards against a server that has left being used again because one of its
// heartbeats arrives late, also after a restart of the agent.
TEST_F(agent_service_test, ignores_heartbeats_of_an_executor_that_has_left)
{
    begin();
    agent->receive_deregistration("i-1", 1);
    executor.is_refusing = true;
    heartbeat(jobs::worker_state::ready);
    timers.advance(8s);
    EXPECT_EQ(report().worker.state, jobs::worker_state::gone);
    replace_agent();
    agent->start();
    timers.advance(500ms);
    heartbeat(jobs::worker_state::ready);
    timers.advance(500ms);
    EXPECT_EQ(report().worker.state, jobs::worker_state::gone);
}

// Guards against a task that runs twice: an executor whose deregistration is
// not acknowledged in time runs on for some seconds, and may refuse connections
// meanwhile.
TEST_F(agent_service_test, counts_no_executor_as_gone_before_its_lease_expires)
{
    begin();
    auto const order = make_order(0);
    put_order(order);
    timers.advance(100ms);
    ASSERT_TRUE(executor.running.contains(order.run));
    agent->receive_deregistration("i-1", 1);
    timers.advance(500ms);
    EXPECT_NE(report().worker.state, jobs::worker_state::gone);
    executor.is_refusing = true;
    timers.advance(500ms);
    EXPECT_NE(report().worker.state, jobs::worker_state::gone);
    while (executor.clock_ms() <= executor.lease_end_ms) {
        EXPECT_NE(report().worker.state, jobs::worker_state::gone);
        timers.advance(100ms);
    }
    timers.advance(2s);
    EXPECT_EQ(report().worker.state, jobs::worker_state::gone);
}

// Guards against giving up the runs of an executor that has restarted under its
// old id when the deregistration of its predecessor arrives late.
TEST_F(agent_service_test, ignores_a_late_deregistration)
{
    begin();
    executor.born_ms = 2;
    heartbeat(jobs::worker_state::ready, 2);
    agent->receive_deregistration("i-1", 1);
    timers.advance(500ms);
    EXPECT_EQ(report().worker.state, jobs::worker_state::ready);
    agent->receive_deregistration("i-1", 2);
    executor.is_refusing = true;
    timers.advance(8s);
    EXPECT_EQ(report().worker.state, jobs::worker_state::gone);
}

// Guards against tasks that run twice: a heartbeat of another program, which
// names another executor, makes the agent report the runs of its own as lost.
TEST_F(agent_service_test, keeps_its_executor_when_another_one_is_announced)
{
    begin();
    auto const order = make_order(0);
    put_order(order);
    timers.advance(100ms);
    announce_executor("i-9", 5);
    timers.advance(2s);
    EXPECT_EQ(report().worker.executor.id, "i-1");
    EXPECT_TRUE(report().ended.empty());
    EXPECT_TRUE(executor.running.contains(order.run));
    EXPECT_GT(executor.lease_end_ms, executor.clock_ms() + 4000);
    heartbeat(jobs::worker_state::draining);
    timers.advance(200ms);
    EXPECT_EQ(report().worker.state, jobs::worker_state::draining);
}

// Guards against tasks that run twice: the list of the present executor
// confirms a heartbeat of another program that names the same start time.
TEST_F(agent_service_test, keeps_its_executor_when_another_one_has_its_start)
{
    begin();
    auto const order = make_order(0);
    put_order(order);
    timers.advance(100ms);
    announce_executor("i-9", executor.born_ms);
    timers.advance(2s);
    EXPECT_EQ(report().worker.executor.id, "i-1");
    EXPECT_TRUE(report().ended.empty());
    EXPECT_TRUE(executor.running.contains(order.run));
}

// Guards against a successor that is not used, and against runs of its
// predecessor that are never started again.
TEST_F(agent_service_test, uses_an_announced_executor_that_answers)
{
    begin();
    put_order(make_order(0));
    timers.advance(100ms);
    executor.running.clear();
    executor.born_ms = 5;
    announce_executor("i-9", 5);
    timers.advance(300ms);
    EXPECT_EQ(report().worker.executor.id, "i-9");
    ASSERT_EQ(report().ended.size(), 1U);
    EXPECT_EQ(report().ended[0].end, jobs::run_end::lost);
}

// Guards against runs that count as lost before the lease has expired, and
// against an executor that is never used again: another one is announced while
// the path to it is broken.
TEST_F(agent_service_test, counts_its_executor_as_gone_with_its_lease)
{
    begin();
    put_order(make_order(0));
    timers.advance(100ms);
    executor.is_silent = true;
    announce_executor("i-9", 5);
    timers.advance(7s);
    EXPECT_EQ(report().worker.state, jobs::worker_state::ready);
    EXPECT_LT(executor.lease_end_ms, executor.clock_ms());
    timers.advance(4s);
    EXPECT_EQ(report().worker.executor.id, "i-1");
    EXPECT_EQ(report().worker.state, jobs::worker_state::gone);
    executor.is_silent = false;
    announce_executor("i-9", 5);
    timers.advance(2s);
    heartbeat(jobs::worker_state::ready);
    timers.advance(500ms);
    EXPECT_EQ(report().worker.executor.id, "i-1");
    EXPECT_EQ(report().worker.state, jobs::worker_state::ready);
}

// Guards against a successor that is never used because the path to it was
// broken when it announced itself.
TEST_F(agent_service_test, uses_a_successor_once_it_answers)
{
    begin();
    put_order(make_order(0));
    timers.advance(100ms);
    executor.is_silent = true;
    announce_executor("i-9", 5);
    timers.advance(11s);
    EXPECT_EQ(report().worker.executor.id, "i-1");
    executor.running.clear();
    executor.is_silent = false;
    executor.born_ms = 5;
    timers.advance(2s);
    EXPECT_EQ(report().worker.executor.id, "i-9");
    EXPECT_EQ(report().worker.state, jobs::worker_state::ready);
}

// Guards against tasks that run twice: a heartbeat of another program reaches a
// restarted agent before that of its executor.
TEST_F(agent_service_test, keeps_its_executor_over_a_restart)
{
    begin();
    auto const order = make_order(0);
    put_order(order);
    timers.advance(1500ms);
    replace_agent();
    announce_executor("i-9", 5);
    agent->start();
    timers.advance(2s);
    EXPECT_EQ(report().worker.executor.id, "i-1");
    EXPECT_TRUE(report().ended.empty());
    EXPECT_TRUE(executor.running.contains(order.run));
}

// Guards against a successor that waits for its next heartbeat, since the first
// one arrives before the agent has read its orders.
TEST_F(agent_service_test, uses_a_successor_that_it_hears_of_before_its_orders)
{
    begin();
    put_order(make_order(0));
    timers.advance(1500ms);
    replace_agent();
    executor.running.clear();
    executor.born_ms = 5;
    announce_executor("i-9", 5);
    agent->start();
    timers.advance(500ms);
    EXPECT_EQ(report().worker.executor.id, "i-9");
    EXPECT_EQ(report().worker.state, jobs::worker_state::ready);
}

// Guards against an executor that is never used again, and runs that never
// start again, because the time of day was set back before the executor
// restarted.
TEST_F(agent_service_test, uses_an_executor_whose_start_time_has_gone_back)
{
    begin_with_start_time(100);
    auto const order = make_order(0, {"i-1", 100});
    put_order(order);
    timers.advance(100ms);
    ASSERT_TRUE(executor.running.contains(order.run));
    executor.running.clear();
    executor.born_ms = 50;
    heartbeat(jobs::worker_state::ready, 50);
    timers.advance(1s);
    EXPECT_EQ(report().worker.executor.born_ms, 50);
    EXPECT_EQ(report().worker.state, jobs::worker_state::ready);
    ASSERT_EQ(report().ended.size(), 1U);
    EXPECT_EQ(report().ended[0].end, jobs::run_end::lost);
}

// Guards against the same when the agent restarts as well, and knows the
// earlier start time from its orders.
TEST_F(agent_service_test,
       uses_an_executor_whose_start_time_is_before_its_orders)
{
    begin_with_start_time(100);
    auto const order = make_order(0, {"i-1", 100});
    put_order(order);
    timers.advance(100ms);
    replace_agent();
    executor.running.clear();
    executor.born_ms = 50;
    agent->start();
    heartbeat(jobs::worker_state::ready, 50);
    timers.advance(2s);
    EXPECT_EQ(report().worker.executor.born_ms, 50);
    ASSERT_EQ(report().ended.size(), 1U);
    EXPECT_EQ(report().ended[0].end, jobs::run_end::lost);
}

// Guards against tasks that run twice: a heartbeat of the previous incarnation
// arrives late, and the runs of the current one count as lost.
TEST_F(agent_service_test, keeps_its_executor_when_an_earlier_one_is_announced)
{
    begin_with_start_time(100);
    auto const order = make_order(0, {"i-1", 100});
    put_order(order);
    timers.advance(100ms);
    heartbeat(jobs::worker_state::draining, 50);
    timers.advance(2s);
    EXPECT_EQ(report().worker.executor.born_ms, 100);
    EXPECT_EQ(report().worker.state, jobs::worker_state::ready);
    EXPECT_TRUE(report().ended.empty());
    EXPECT_TRUE(executor.running.contains(order.run));
    EXPECT_GT(executor.lease_end_ms, executor.clock_ms() + 4000);
}

// Guards against tasks that run twice: a late heartbeat of a predecessor names
// a later start than the current incarnation, since the time of day was set
// back between the two.
TEST_F(agent_service_test, keeps_its_executor_when_a_later_start_is_announced)
{
    begin_with_start_time(100);
    executor.born_ms = 50;
    heartbeat(jobs::worker_state::ready, 50);
    timers.advance(500ms);
    auto const order = make_order(0, {"i-1", 50});
    put_order(order);
    timers.advance(100ms);
    ASSERT_TRUE(executor.running.contains(order.run));
    heartbeat(jobs::worker_state::ready, 100);
    timers.advance(2s);
    EXPECT_EQ(report().worker.executor.born_ms, 50);
    EXPECT_TRUE(report().ended.empty());
    EXPECT_TRUE(executor.running.contains(order.run));
}

// Guards against a task that runs twice: an answer of a predecessor, which was
// requested before its successor was known, arrives after a late heartbeat.
TEST_F(agent_service_test, takes_no_late_answer_as_that_of_an_earlier_executor)
{
    executor.born_ms = 50;
    executor.answer_delay = 900ms;
    agent->start();
    announce_executor("i-0", 50);
    timers.advance(200ms);
    executor.answer_delay = 5ms;
    executor.born_ms = 100;
    heartbeat(jobs::worker_state::ready, 100);
    timers.advance(50ms);
    auto const order = make_order(0, {"i-1", 100});
    put_order(order);
    timers.advance(300ms);
    ASSERT_TRUE(executor.running.contains(order.run));
    executor.answer_delay = 600ms;
    announce_executor("i-0", 50);
    for (int step = 0; step < 200; ++step) {
        timers.advance(10ms);
        ASSERT_TRUE(report().ended.empty());
        ASSERT_EQ(report().worker.executor.born_ms, 100);
    }
    EXPECT_TRUE(executor.running.contains(order.run));
}

// Guards against an executor that is never used again: the agent restarts while
// its executor counts as gone because its path was cut.
TEST_F(agent_service_test,
       uses_an_executor_again_that_it_found_gone_at_its_start)
{
    begin();
    executor.is_silent = true;
    cut_store();
    timers.advance(12s);
    restore_store();
    timers.advance(1s);
    ASSERT_EQ(report().worker.state, jobs::worker_state::gone);
    replace_agent();
    agent->start();
    executor.is_silent = false;
    for (int sent = 0; sent < 10; ++sent) {
        timers.advance(1500ms);
        heartbeat(jobs::worker_state::ready);
    }
    timers.advance(1s);
    EXPECT_EQ(report().worker.state, jobs::worker_state::ready);
}

// Guards against runs that never start again: another incarnation answers at
// the address of the executor, but none of its heartbeats arrives.
TEST_F(agent_service_test, ends_its_executor_when_another_one_answers)
{
    begin();
    put_order(make_order(0));
    timers.advance(200ms);
    executor.running.clear();
    executor.born_ms = 2;
    EXPECT_LT(time_until_gone(timers.now()), 8s);
}

// Guards against the same after a deregistration.
TEST_F(agent_service_test,
       ends_a_deregistered_executor_when_another_one_answers)
{
    begin();
    put_order(make_order(0));
    timers.advance(200ms);
    agent->receive_deregistration("i-1", 1);
    executor.running.clear();
    executor.born_ms = 2;
    EXPECT_LT(time_until_gone(timers.now()), 8s);
}

// Guards against a task that runs twice: a restarted agent reads a report from
// before its executor was replaced by one with an earlier start time.
TEST_F(agent_service_test, keeps_runs_of_an_earlier_start_than_its_stale_report)
{
    begin_with_start_time(100);
    executor.born_ms = 50;
    auto const order = make_order(0, {"i-9", 50});
    put_order(order);
    executor.running[order.run] = order;
    replace_agent();
    agent->start();
    timers.advance(200ms);
    announce_executor("i-9", 50);
    timers.advance(2s);
    EXPECT_EQ(report().worker.executor.id, "i-9");
    EXPECT_TRUE(report().ended.empty());
    EXPECT_TRUE(executor.running.contains(order.run));
}

// Guards against work that is stopped without need: the same under one id.
TEST_F(agent_service_test, stops_no_run_of_an_earlier_start_than_its_report)
{
    begin_with_start_time(100);
    executor.born_ms = 50;
    auto const order = make_order(0, {"i-1", 50});
    put_order(order);
    executor.running[order.run] = order;
    replace_agent();
    agent->start();
    heartbeat(jobs::worker_state::ready, 50);
    timers.advance(2s);
    EXPECT_EQ(report().worker.executor.born_ms, 50);
    EXPECT_TRUE(report().ended.empty());
    EXPECT_TRUE(executor.running.contains(order.run));
}

// Guards against a task that runs twice: a restarted agent finds an order of
// the predecessor, which has a later start time than its executor.
TEST_F(agent_service_test, keeps_runs_beside_an_order_of_a_later_start)
{
    begin_with_start_time(100);
    executor.born_ms = 50;
    announce_executor("i-9", 50);
    timers.advance(1s);
    ASSERT_EQ(report().worker.executor.id, "i-9");
    auto const order = make_order(0, {"i-9", 50});
    put_order(order);
    timers.advance(200ms);
    ASSERT_TRUE(executor.running.contains(order.run));
    replace_agent();
    auto const late_order = make_order(1, {"i-1", 100});
    put_order(late_order);
    agent->start();
    announce_executor("i-9", 50);
    timers.advance(2s);
    EXPECT_TRUE(executor.running.contains(order.run));
    for (auto const& ended : report().ended)
        EXPECT_NE(ended.run, order.run);
}

// Guards against a run that never ends, and whose task never runs again: an
// order for a predecessor reaches a restarted agent late, and names a later
// start than the current incarnation, since the time of day was set back.
TEST_F(agent_service_test, ends_a_late_run_of_a_start_that_it_never_knew)
{
    begin_with_start_time(50);
    replace_agent();
    begin_with_start_time(50);
    put_order(make_order(0, {"i-0", 100}));
    timers.advance(1s);
    EXPECT_EQ(report().worker.executor.born_ms, 50);
    ASSERT_EQ(report().ended.size(), 1U);
    EXPECT_EQ(report().ended[0].end, jobs::run_end::lost);
}

// Guards against two runs of a task: the start that an earlier process of the
// agent sent to the predecessor has reached its successor of the same id.
TEST_F(agent_service_test, stops_a_late_run_of_a_start_that_it_never_knew)
{
    begin_with_start_time(50);
    replace_agent();
    begin_with_start_time(50);
    auto const order = make_order(0, {"i-1", 100});
    executor.is_stop_busy = true;
    executor.running[order.run] = order;
    put_order(order);
    timers.advance(1s);
    EXPECT_TRUE(report().ended.empty());
    executor.is_stop_busy = false;
    timers.advance(1s);
    EXPECT_TRUE(executor.running.empty());
    ASSERT_EQ(report().ended.size(), 1U);
}

// Guards against a task that runs twice: a restarted agent knows a predecessor
// from a stale report, and takes an order of the current incarnation as one of
// an incarnation that has ended.
TEST_F(agent_service_test, keeps_a_late_run_of_a_start_after_its_stale_report)
{
    begin_with_start_time(50);
    replace_agent();
    executor.born_ms = 100;
    agent->start();
    timers.advance(100ms);
    auto const order = make_order(0, {"i-1", 100});
    executor.running[order.run] = order;
    put_order(order);
    timers.advance(500ms);
    heartbeat(jobs::worker_state::ready, 100);
    timers.advance(2s);
    EXPECT_EQ(report().worker.executor.born_ms, 100);
    EXPECT_TRUE(report().ended.empty());
    EXPECT_TRUE(executor.running.contains(order.run));
}

// Guards against a run that never ends: an order for an incarnation that only
// an earlier process of the agent knew arrives late, and no executor is there.
TEST_F(agent_service_test, ends_a_late_run_although_its_executor_has_gone)
{
    begin();
    executor.is_refusing = true;
    agent->receive_deregistration("i-1", 1);
    time_until_gone(timers.now());
    replace_agent();
    agent->start();
    timers.advance(1s);
    put_order(make_order(0, {"i-0", 100}));
    timers.advance(30s);
    EXPECT_EQ(report().worker.state, jobs::worker_state::gone);
    EXPECT_EQ(report().ended.size(), 1U);
}

// Guards against leases that expire because heartbeats of another program
// arrive faster than the executor answers.
TEST_F(agent_service_test, extends_its_lease_in_spite_of_many_announcements)
{
    begin();
    put_order(make_order(0));
    timers.advance(100ms);
    for (int count = 0; count < 3000; ++count) {
        announce_executor("i-9", 5);
        timers.advance(4ms);
    }
    EXPECT_GT(executor.lease_end_ms, executor.clock_ms() + 4000);
    EXPECT_EQ(report().worker.executor.id, "i-1");
}

} // namespace
} // namespace sequoiaroute::agents
