#include "agents/agent_service_fixture.hpp"

namespace sequoiaroute::agents {
namespace {

using namespace std::chrono_literals;
using support::memory_row_store;

// An order lies in the store while its agent cannot read it. Guards against
// a start in a data centre that may have been evacuated meanwhile.
TEST_F(agent_service_test, starts_no_run_after_the_deadline_of_its_order)
{
    begin();
    auto timely = make_order(0);
    timely.start_deadline = store_time() + 2s;
    auto late = make_order(1);
    late.start_deadline = store_time() + 2s;
    put_order(timely);
    timers.advance(500ms);
    cut_store();
    timers.advance(2s);
    put_order(late);
    restore_store();
    timers.advance(2s);
    EXPECT_TRUE(executor.running.contains(timely.run));
    EXPECT_FALSE(executor.running.contains(late.run));
}

TEST_F(agent_service_test, carries_out_an_order_and_reports_its_end)
{
    begin();
    auto const order = make_order(0);
    put_order(order);
    timers.advance(100ms);
    ASSERT_TRUE(executor.running.contains(order.run));
    executor.end(order.run, jobs::run_end::done);
    timers.advance(200ms);
    ASSERT_EQ(report().ended.size(), 1U);
    EXPECT_EQ(executor.highest_acknowledged, 1);
}

// Guards against an end that the executor drops before it is stored.
TEST_F(agent_service_test, acknowledges_an_end_only_after_it_is_stored)
{
    begin();
    auto const order = make_order(0);
    put_order(order);
    timers.advance(100ms);
    store.next_commits = memory_row_store::fault::silent;
    executor.end(order.run, jobs::run_end::done);
    timers.advance(3s);
    EXPECT_EQ(executor.highest_acknowledged, 0);
    store.next_commits = memory_row_store::fault::none;
    timers.advance(2s);
    EXPECT_EQ(executor.highest_acknowledged, 1);
}

// Guards against runs that are lost in a short outage of the store, and against
// leases that last longer than the decider waits for a silent agent.
TEST_F(agent_service_test, extends_leases_for_a_limited_time_without_the_store)
{
    begin();
    put_order(make_order(0));
    timers.advance(100ms);
    store.next_commits = memory_row_store::fault::refused;
    store.reads = memory_row_store::fault::refused;
    timers.advance(4s);
    EXPECT_GT(executor.lease_end_ms, executor.clock_ms() + 4000);
    timers.advance(4s);
    EXPECT_GT(executor.lease_end_ms, executor.clock_ms());
    auto const end = executor.lease_end_ms;
    timers.advance(4s);
    EXPECT_EQ(executor.lease_end_ms, end);
}

// Guards against a restarted agent whose first report lacks the ends that the
// executor no longer lists.
TEST_F(agent_service_test, reports_ends_again_after_a_restart)
{
    begin();
    auto const order = make_order(0);
    put_order(order);
    timers.advance(100ms);
    executor.end(order.run, jobs::run_end::done);
    timers.advance(200ms);
    ASSERT_TRUE(executor.ended.empty());
    replace_agent();
    agent->start();
    timers.advance(3s);
    ASSERT_EQ(report().ended.size(), 1U);
    EXPECT_EQ(report().ended[0].end, jobs::run_end::done);
    EXPECT_TRUE(executor.running.empty());
}

// Guards against a task that runs again after it is done: a restarted agent
// reads a stale report, without an end that the process before it has
// acknowledged.
TEST_F(agent_service_test, keeps_an_end_that_a_stale_report_lacks)
{
    begin();
    auto const order = make_order(0);
    put_order(order);
    timers.advance(100ms);
    store.keep_state_for_stale_reads();
    executor.end(order.run, jobs::run_end::done);
    timers.advance(200ms);
    ASSERT_TRUE(executor.ended.empty());
    store.are_reads_stale = true;
    replace_agent();
    begin();
    timers.advance(3s);
    ASSERT_EQ(report().ended.size(), 1U);
    EXPECT_EQ(report().ended[0].end, jobs::run_end::done);
}

// Guards against an order that is never carried out: the store's list of parts
// that the agent reads at its start is older than the first order.
TEST_F(agent_service_test,
       carries_out_an_order_that_a_stale_list_of_parts_lacks)
{
    store.keep_state_for_stale_reads();
    auto const order = make_order(0);
    put_order(order);
    store.are_part_lists_stale = true;
    begin();
    timers.advance(1s);
    EXPECT_TRUE(executor.running.contains(order.run));
}

// Guards against a delayed heartbeat that makes a draining executor ready
// again.
TEST_F(agent_service_test, ignores_heartbeats_out_of_order)
{
    begin();
    sequence = 10;
    heartbeat(jobs::worker_state::draining);
    sequence = 5;
    heartbeat(jobs::worker_state::ready);
    timers.advance(100ms);
    EXPECT_EQ(report().worker.state, jobs::worker_state::draining);
}

TEST_F(agent_service_test, stops_runs_without_an_order)
{
    jobs::run_id const unordered_run{{"old", 0, 0, 0}, 4};
    executor.running[unordered_run] = {};
    begin();
    timers.advance(200ms);
    EXPECT_FALSE(executor.running.contains(unordered_run));
}

// The store takes seconds to answer. Guards against urgent work that waits for
// the store's feed to deliver its order, or for an end to be stored.
TEST_F(agent_service_test, handles_urgent_work_without_the_feed)
{
    begin();
    store.reads = memory_row_store::fault::silent;
    store.next_commits = memory_row_store::fault::silent;
    auto order = make_order(0);
    order.is_urgent = true;
    rows::row row{rows::layout::order_row("a", to_text(order.run)),
                  jobs::encode(order), 100, false};
    agent->receive_notice({"10.0.0.1:7000", {row}});
    timers.advance(50ms);
    ASSERT_TRUE(executor.running.contains(order.run));
    EXPECT_TRUE(notices.reports["10.0.0.1:7000"].empty());
    executor.end(order.run, jobs::run_end::done);
    timers.advance(200ms);
    auto const& sent = notices.reports["10.0.0.1:7000"];
    ASSERT_EQ(sent.size(), 1U);
    auto const decoded = core::value(jobs::decode_report(sent[0]));
    ASSERT_EQ(decoded.ended.size(), 1U);
    EXPECT_EQ(decoded.ended[0].run, order.run);
    // An end is acknowledged only once it is in a stored report.
    EXPECT_EQ(executor.highest_acknowledged, 0);
}

// Guards against reports that are sent to an entry which is no longer the
// decider.
TEST_F(agent_service_test, sends_no_reports_to_a_former_decider)
{
    begin();
    agent->receive_notice({"10.0.0.1:7000", {}});
    notices.accepts_reports = false;
    heartbeat(jobs::worker_state::draining);
    EXPECT_EQ(notices.reports["10.0.0.1:7000"].size(), 1U);
    heartbeat(jobs::worker_state::ready);
    EXPECT_EQ(notices.reports["10.0.0.1:7000"].size(), 1U);
}

// Guards against a filler that keeps slowing down the serving task beside it.
TEST_F(agent_service_test, throttles_a_filler_beside_a_slow_serving_task)
{
    begin();
    auto serving = make_order(0);
    serving.response_target = 100ms;
    auto filler = make_order(1);
    filler.is_filler = true;
    put_order(serving);
    put_order(filler);
    executor.response_time = 150ms;
    timers.advance(3s);
    ASSERT_TRUE(executor.shares.contains(filler.run));
    EXPECT_EQ(executor.shares.at(filler.run), 0);
    EXPECT_FALSE(executor.shares.contains(serving.run));
    for (auto const& task : report().running)
        EXPECT_EQ(task.share, task.run == filler.run ? 0 : 100);
}

// Guards against orders that are never completed: the orders name a newer
// incarnation than the last report does, and that incarnation has ended too.
TEST_F(agent_service_test, detects_the_end_of_an_incarnation_known_from_orders)
{
    auto const order = make_order(0, {"i-1", 7});
    put_order(order);
    executor.is_refusing = true;
    agent->start();
    // The earlier process may have extended the lease when it ended.
    auto const lease_timeout = jobs::lease_timing{6s, 1s}.max_time_to_stop();
    timers.advance(lease_timeout + 1s);
    EXPECT_EQ(report().worker.executor, order.executor);
    EXPECT_EQ(report().worker.state, jobs::worker_state::gone);
}

// Guards against a run that starts on an incarnation other than the ordered
// one: the executor was restarted under the same id while the agent was down.
TEST_F(agent_service_test, starts_nothing_on_an_unconfirmed_incarnation)
{
    begin();
    timers.advance(2s);
    executor.born_ms = 2;
    replace_agent();
    agent->start();
    timers.advance(50ms);
    put_order(make_order(0));
    timers.advance(1s);
    EXPECT_TRUE(executor.running.empty());
    jobs::worker_description worker;
    worker.executor = {"i-1", 2};
    worker.state = jobs::worker_state::ready;
    agent->receive_heartbeat(worker, 1);
    timers.advance(500ms);
    EXPECT_TRUE(executor.running.empty());
    ASSERT_EQ(report().ended.size(), 1U);
    EXPECT_EQ(report().ended[0].end, jobs::run_end::lost);
}

// Guards against a run that is forgotten because its order's row was
// overwritten, and against one that is never forgotten after its removal.
TEST_F(agent_service_test, keeps_an_order_whose_row_turns_odd)
{
    begin();
    auto const order = make_order(0);
    auto const key = rows::layout::order_row("a", to_text(order.run));
    put_order(order);
    timers.advance(200ms);
    store.put(key, "[[{");
    put_order(make_order(1));
    timers.advance(200ms);
    EXPECT_EQ(executor.running.size(), 2U);
    store.commit({{}, {}, {key}}, 100ms, [](auto const&) {});
    timers.advance(1500ms);
    EXPECT_EQ(executor.running.size(), 1U);
}

// Guards against losing how a run ended, and what it saved, because the decider
// took it as lost and removed its order before the executor answered again.
TEST_F(agent_service_test, reports_an_end_whose_order_was_removed)
{
    begin();
    auto const order = make_order(0);
    auto const key = rows::layout::order_row("a", to_text(order.run));
    put_order(order);
    timers.advance(200ms);
    executor.is_silent = true;
    timers.advance(100ms);
    executor.end(order.run, jobs::run_end::failed);
    store.commit({{}, {}, {key}}, 100ms, [](auto const&) {});
    timers.advance(1s);
    executor.is_silent = false;
    while (executor.highest_acknowledged == 0) {
        if (auto const ended = report().ended; !ended.empty()) {
            EXPECT_EQ(ended[0].end, jobs::run_end::failed);
            break;
        }
        timers.advance(1ms);
    }
    EXPECT_EQ(report().ended.size(), 1U);
}

// Guards against a run that outlasts the time after which the decider takes the
// runs of a silent agent as ended, and orders them elsewhere.
TEST_F(agent_service_test, starts_nothing_while_it_may_not_extend_the_lease)
{
    begin();
    cut_store();
    timers.advance(4s);
    auto const order = make_order(0);
    announce_order(order);
    timers.advance(1s);
    EXPECT_TRUE(executor.running.empty());
    restore_store();
    timers.advance(2s);
    EXPECT_TRUE(executor.running.contains(order.run));
}

// Guards against a task that runs twice: a start extends the lease of all runs,
// so an executor whose polls are not answered may still be at work then.
TEST_F(agent_service_test, counts_the_lease_from_the_last_start)
{
    begin();
    cut_store();
    timers.advance(1500ms);
    executor.is_silent = true;
    timers.advance(1300ms);
    announce_order(make_order(0));
    timers.advance(6500ms);
    ASSERT_EQ(executor.running.size(), 1U);
    EXPECT_FALSE(has_announced_end());
    timers.advance(2s);
    EXPECT_TRUE(has_announced_end());
}

// Guards against a start that reaches another incarnation: the executor has not
// answered for longer than its last snapshot confirms the one that it showed.
TEST_F(agent_service_test, starts_nothing_without_a_recent_snapshot)
{
    begin();
    executor.is_silent = true;
    timers.advance(1600ms);
    auto const order = make_order(0);
    announce_order(order);
    timers.advance(50ms);
    EXPECT_TRUE(executor.running.empty());
    executor.is_silent = false;
    timers.advance(2s);
    EXPECT_TRUE(executor.running.contains(order.run));
}

// Guards against a task that runs twice: the agent was silent for so long that
// the decider has ordered the run elsewhere, and the agent has not read the
// removal of its order yet.
TEST_F(agent_service_test, starts_nothing_ordered_before_a_long_silence)
{
    begin();
    cut_store();
    timers.advance(4s);
    auto const order = make_order(0);
    announce_order(order);
    timers.advance(8s);
    store.next_commits = memory_row_store::fault::none;
    timers.advance(3s);
    EXPECT_TRUE(executor.running.empty());
    ASSERT_EQ(report().ended.size(), 1U);
    EXPECT_EQ(report().ended[0].end, jobs::run_end::stopped);
}

// Guards against a task that runs twice: the report that ends a silence takes
// effect only after the decider has taken the agent as lost.
TEST_F(agent_service_test, starts_nothing_ordered_before_a_report_came_late)
{
    begin();
    store.reads = memory_row_store::fault::refused;
    store.next_commits = memory_row_store::fault::response_lost;
    timers.advance(4s);
    auto const order = make_order(0);
    announce_order(order);
    timers.advance(5s);
    store.next_commits = memory_row_store::fault::silent;
    timers.advance(4s);
    EXPECT_TRUE(executor.running.empty());
    store.next_commits = memory_row_store::fault::none;
    timers.advance(3s);
    EXPECT_TRUE(executor.running.empty());
}

// Guards against a task that runs twice: the decider has placed the run before
// it took the agent as lost, but the order is stored and read only afterwards.
TEST_F(agent_service_test, starts_no_order_of_an_earlier_session)
{
    begin();
    auto const earlier = report().session;
    cut_store();
    timers.advance(12s);
    restore_store();
    timers.advance(1s);
    ASSERT_NE(report().session, earlier);
    auto order = make_order(0);
    order.session = earlier;
    put_order(order);
    timers.advance(3s);
    EXPECT_TRUE(executor.running.empty());
    order = make_order(1);
    order.session = report().session;
    put_order(order);
    timers.advance(1s);
    EXPECT_TRUE(executor.running.contains(order.run));
}

// Guards against a task that runs twice: the report that ends a long silence is
// stored late, and its process is killed before it notices. The decider has
// ordered the run elsewhere by then.
TEST_F(agent_service_test, starts_nothing_ordered_before_a_restart)
{
    begin();
    auto order = make_order(0);
    order.session = report().session;
    cut_store();
    timers.advance(8s);
    put_order(order);
    store.next_commits = memory_row_store::fault::silent;
    timers.advance(1s);
    store.next_commits = memory_row_store::fault::refused;
    timers.advance(3s);
    ASSERT_EQ(store.apply_delayed_commits(), 1U);
    ASSERT_EQ(report().session, order.session);
    replace_agent();
    restore_store();
    begin();
    timers.advance(3s);
    EXPECT_TRUE(executor.running.empty());
}

// Guards against needless stops: a restart of the agent begins a session, but
// ends no run that was started in the one before.
TEST_F(agent_service_test, keeps_its_runs_over_a_restart)
{
    begin();
    auto order = make_order(0);
    order.session = report().session;
    put_order(order);
    timers.advance(100ms);
    ASSERT_TRUE(executor.running.contains(order.run));
    replace_agent();
    begin();
    timers.advance(3s);
    EXPECT_NE(report().session, order.session);
    EXPECT_TRUE(executor.running.contains(order.run));
    EXPECT_EQ(report().running.size(), 1U);
    EXPECT_TRUE(report().ended.empty());
}

// Guards against a task that runs twice: the agent has reported the runs of its
// silent executor as lost, and the executor returns before the agent has read
// that their orders are removed.
TEST_F(agent_service_test, starts_no_earlier_order_when_its_executor_returns)
{
    begin();
    executor.is_silent = true;
    timers.advance(1600ms);
    auto const order = make_order(0);
    announce_order(order);
    store.next_commits = memory_row_store::fault::refused;
    while (!has_announced_end())
        timers.advance(1ms);
    executor.is_silent = false;
    heartbeat(jobs::worker_state::ready);
    store.next_commits = memory_row_store::fault::none;
    timers.advance(2s);
    EXPECT_EQ(report().worker.state, jobs::worker_state::ready);
    EXPECT_TRUE(executor.running.empty());
}

// Guards against a task that runs twice: a broken path to the executor refuses
// connections, while its runs go on.
TEST_F(agent_service_test, waits_for_the_lease_of_an_executor_that_refuses)
{
    begin();
    auto const order = make_order(0);
    put_order(order);
    timers.advance(100ms);
    executor.is_refusing = true;
    while (report().worker.state != jobs::worker_state::gone &&
           executor.lease_end_ms + 10'000 > executor.clock_ms())
        timers.advance(10ms);
    EXPECT_EQ(report().worker.state, jobs::worker_state::gone);
    EXPECT_GT(executor.clock_ms(), executor.lease_end_ms);
}

// Guards against new runs that wait for an executor that cannot be reached.
TEST_F(agent_service_test, offers_no_executor_that_refuses_connections)
{
    begin();
    auto const running = make_order(0);
    put_order(running);
    timers.advance(100ms);
    executor.is_refusing = true;
    timers.advance(900ms);
    heartbeat(jobs::worker_state::ready);
    auto const refused = make_order(1);
    put_order(refused);
    timers.advance(300ms);
    EXPECT_EQ(report().worker.state, jobs::worker_state::draining);
    EXPECT_EQ(report().worker.remaining, jobs::unlimited_remaining);
    ASSERT_EQ(report().ended.size(), 1U);
    EXPECT_EQ(report().ended[0].run, refused.run);
    executor.is_refusing = false;
    timers.advance(500ms);
    heartbeat(jobs::worker_state::ready);
    timers.advance(500ms);
    EXPECT_EQ(report().worker.state, jobs::worker_state::ready);
    EXPECT_TRUE(executor.running.contains(running.run));
}

// Guards against giving up the runs of a restarted agent's executor, whose
// lease the earlier process of the agent has extended.
TEST_F(agent_service_test, waits_for_a_lease_that_an_earlier_process_extended)
{
    begin();
    put_order(make_order(0));
    timers.advance(100ms);
    auto const lease_end = executor.lease_end_ms;
    executor.is_refusing = true;
    replace_agent();
    agent->start();
    while (report().worker.state != jobs::worker_state::gone &&
           lease_end + 10'000 > executor.clock_ms())
        timers.advance(10ms);
    EXPECT_EQ(report().worker.state, jobs::worker_state::gone);
    EXPECT_GT(executor.clock_ms(), lease_end);
}

// Guards against a task that runs twice: a restarted executor has carried out
// an earlier start, and refuses connections before it has answered a poll.
TEST_F(agent_service_test, waits_for_the_lease_of_a_restarted_executor)
{
    begin();
    auto const order = make_order(0);
    executor.born_ms = 2;
    put_order(order);
    while (!executor.running.contains(order.run))
        timers.advance(1ms);
    executor.is_refusing = true;
    auto const restarted_at = timers.now();
    heartbeat(jobs::worker_state::ready, 2);
    while (report().worker.state != jobs::worker_state::gone &&
           timers.now() < restarted_at + 20s)
        timers.advance(10ms);
    EXPECT_EQ(report().worker.state, jobs::worker_state::gone);
    EXPECT_GT(timers.now() - restarted_at,
              (jobs::lease_timing{6s, 1s}.max_time_to_stop()));
}

// Guards against a task that runs twice: the end of a lease by the clock of an
// earlier incarnation reaches a restarted executor, which grants its longest
// lease then.
TEST_F(agent_service_test, waits_for_the_longest_lease_of_a_restarted_executor)
{
    grant_longer_leases();
    begin();
    executor.is_refusing = true;
    auto const restarted_at = timers.now();
    heartbeat(jobs::worker_state::ready, 2);
    EXPECT_GT(time_until_gone(restarted_at), longest_time_to_stop);
}

// Guards against the same where the successor has another id: polls reach it as
// well, since they name none.
TEST_F(agent_service_test, waits_for_the_longest_lease_of_a_successor)
{
    grant_longer_leases();
    begin();
    executor.born_ms = 5;
    announce_executor("i-9", 5);
    while (report().worker.executor.id != "i-9")
        timers.advance(1ms);
    auto const adopted_at = timers.now();
    auto const order = make_order(0, {"i-9", 5});
    put_order(order);
    timers.advance(100ms);
    ASSERT_TRUE(executor.running.contains(order.run));
    executor.is_refusing = true;
    EXPECT_GT(time_until_gone(adopted_at), longest_time_to_stop);
}

// Guards against the same after a restart of the agent, which cannot know when
// its executor began.
TEST_F(agent_service_test, waits_for_the_longest_lease_after_its_own_restart)
{
    grant_longer_leases();
    begin();
    executor.is_refusing = true;
    auto const restarted_at = timers.now();
    grant_longer_leases();
    agent->start();
    EXPECT_GT(time_until_gone(restarted_at), longest_time_to_stop);
}

// Guards against a new session and reports with each heartbeat of an executor
// whose connections fail, and against never using it again.
TEST_F(agent_service_test, reports_at_its_usual_pace_while_connections_fail)
{
    begin();
    put_order(make_order(0));
    timers.advance(100ms);
    executor.is_refusing = true;
    timers.advance(10s);
    auto const commits = store.commit_count;
    auto const session = report().session;
    for (int second = 0; second < 20; ++second) {
        heartbeat(jobs::worker_state::ready);
        timers.advance(1s);
    }
    EXPECT_LE(store.commit_count - commits, 22U);
    EXPECT_EQ(report().session, session);
    EXPECT_EQ(report().worker.state, jobs::worker_state::gone);
    executor.is_refusing = false;
    timers.advance(500ms);
    heartbeat(jobs::worker_state::ready);
    timers.advance(500ms);
    EXPECT_EQ(report().worker.state, jobs::worker_state::ready);
}

// Guards against reports that are withheld for good: a restarted executor never
// confirms the stops of earlier starts, and the decider takes its runs as lost.
TEST_F(agent_service_test, reports_again_once_earlier_orders_are_removed)
{
    begin();
    auto const order = make_order(0);
    auto const key = rows::layout::order_row("a", to_text(order.run));
    executor.is_stop_busy = true;
    executor.born_ms = 2;
    put_order(order);
    while (!executor.running.contains(order.run))
        timers.advance(1ms);
    heartbeat(jobs::worker_state::ready, 2);
    timers.advance(11s);
    EXPECT_EQ(report().worker.executor.born_ms, 1);
    store.commit({{}, {}, {key}}, 100ms, [](auto const&) {});
    timers.advance(2s);
    EXPECT_EQ(report().worker.executor.born_ms, 2);
}

} // namespace
} // namespace sequoiaroute::agents
