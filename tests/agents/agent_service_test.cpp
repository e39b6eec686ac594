#include "agents/agent_service.hpp"

#include "jobs/row_codec.hpp"
#include "rows/row_layout.hpp"
#include "support/memory_row_store.hpp"
#include "support/recording_notice_sender.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::agents {
namespace {

using namespace std::chrono_literals;
using support::memory_row_store;

/// An executor that starts every ordered run and keeps it running until the
/// test ends it.
class fake_executor final : public executor_runtime
{
public:
    explicit fake_executor(support::manual_timers& timers) : timers_(timers) {}

    void start(jobs::run_order const& order, std::int64_t lease_until_ms,
               std::function<void(order_reply)> done) override
    {
        running[order.run] = order;
        lease_end_ms = lease_until_ms;
        reply(std::move(done));
    }

    void stop(jobs::run_order const& order,
              std::function<void(order_reply)> done) override
    {
        if (is_stop_busy)
            return reply(std::move(done), order_outcome::busy);
        if (running.contains(order.run))
            end(order.run, jobs::run_end::stopped);
        reply(std::move(done));
    }

    void throttle(jobs::run_id const& run, std::int32_t percent,
                  std::function<void(bool)> done) override
    {
        shares[run] = percent;
        done(true);
    }

    void poll(std::int64_t acknowledged,
              std::optional<std::int64_t> lease_until_ms, core::duration wait,
              std::function<void(executor_snapshot)> done) override
    {
        if (is_silent) {
            if (lease_until_ms)
                lease_end_ms = std::max(lease_end_ms, *lease_until_ms);
            pending_.push_back(timers_.after(
                wait + 700ms, [done = std::move(done)] { done({}); }));
            return;
        }
        if (is_refusing) {
            executor_snapshot refusal;
            refusal.is_connection_refused = true;
            pending_.push_back(timers_.after(
                1ms, [done = std::move(done), refusal] { done(refusal); }));
            return;
        }
        highest_acknowledged = std::max(highest_acknowledged, acknowledged);
        if (lease_until_ms)
            lease_end_ms = std::max(lease_end_ms, *lease_until_ms);
        std::erase_if(ended, [&](auto const& item) {
            return item.number <= acknowledged;
        });
        executor_snapshot snapshot;
        snapshot.is_ok = true;
        snapshot.born_ms = born_ms;
        snapshot.clock_ms = clock_ms();
        snapshot.ended = ended;
        for (auto const& [run, order] : running)
            snapshot.running.push_back({run, "", 50, 100, response_time});
        pending_.push_back(
            timers_.after(answer_delay, [done = std::move(done), snapshot] {
                done(snapshot);
            }));
    }

    void end(jobs::run_id const& run, jobs::run_end how)
    {
        running.erase(run);
        ended.push_back({++last_number_, {run, how, ""}});
    }

    std::int64_t clock_ms() const
    {
        return timers_.now().time_since_epoch().count() + clock_offset_ms;
    }

    std::map<jobs::run_id, jobs::run_order> running;
    std::vector<unacknowledged_end> ended;
    bool is_refusing = false;  ///< connections are refused
    bool is_silent = false;    ///< polls get no answer
    bool is_stop_busy = false; ///< stops are answered as busy
    std::int64_t clock_offset_ms = 0;
    std::int64_t born_ms = 1;
    core::duration answer_delay{5}; ///< until a poll is answered
    std::map<jobs::run_id, std::int32_t> shares;
    core::duration response_time{0};
    std::int64_t lease_end_ms = 0;
    std::int64_t highest_acknowledged = 0;

private:
    void reply(std::function<void(order_reply)> done,
               order_outcome outcome = order_outcome::done)
    {
        pending_.push_back(timers_.after(
            1ms, [done = std::move(done), clock = clock_ms(), outcome] {
                done({outcome, clock, ""});
            }));
    }

    support::manual_timers& timers_;
    std::int64_t last_number_ = 0;
    std::vector<std::unique_ptr<event::timer>> pending_;
};

class agent_service_test : public testing::Test
{
public:
    agent_service_test() : store(timers), executor(timers) { replace_agent(); }

    /// Destroys the agent, if there is one, and creates another one, which has
    /// not been started.
    void replace_agent()
    {
        agent.emplace(store, timers, executor, notices,
                      agent_service::options{"a", {6s, 1s}});
    }

    void begin() { begin_with_start_time(1); }

    /// Starts the agent beside an executor that started at a given time.
    void begin_with_start_time(std::int64_t born_ms)
    {
        agent->start();
        heartbeat(jobs::worker_state::ready, born_ms);
        timers.advance(200ms);
    }

    void heartbeat(jobs::worker_state state, std::int64_t born_ms = 1)
    {
        jobs::worker_description worker;
        worker.executor = {"i-1", born_ms};
        worker.service = "s";
        worker.state = state;
        agent->receive_heartbeat(worker, ++sequence);
    }

    /// Sends a heartbeat of another executor at the address of the agent.
    void announce_executor(std::string const& id, std::int64_t born_ms)
    {
        jobs::worker_description worker;
        worker.executor = {id, born_ms};
        worker.service = "s";
        worker.state = jobs::worker_state::ready;
        agent->receive_heartbeat(worker, 1);
    }

    static jobs::run_order make_order(std::int32_t index,
                                      jobs::incarnation executor = {"i-1", 1})
    {
        jobs::run_order order;
        order.agent = "a";
        order.executor = std::move(executor);
        order.run = {{"j", 0, 0, index}, 1};
        order.payload = "p";
        return order;
    }

    /// @return the time of the store's clock
    core::duration store_time() const
    {
        return timers.now().time_since_epoch();
    }

    void put_order(jobs::run_order const& order)
    {
        store.put(rows::layout::order_row("a", to_text(order.run)),
                  jobs::encode(order));
    }

    /// Announces an order as the decider does, ahead of the store.
    void announce_order(jobs::run_order const& order)
    {
        rows::row row{rows::layout::order_row("a", to_text(order.run)),
                      jobs::encode(order), 100, false};
        agent->receive_notice({decider, {row}});
    }

    /// Makes the store unreachable for the agent.
    void cut_store()
    {
        store.next_commits = memory_row_store::fault::refused;
        store.reads = memory_row_store::fault::refused;
    }

    void restore_store()
    {
        store.next_commits = memory_row_store::fault::none;
        store.reads = memory_row_store::fault::none;
    }

    /// Replaces the agent by one whose executor grants leases of 10 s.
    void grant_longer_leases()
    {
        agent.emplace(store, timers, executor, notices,
                      agent_service::options{"a", {10s, 400ms}});
    }

    /// @return how long after a moment the agent reports the executor as gone;
    ///         a longer time than any lease takes if it does not
    core::duration time_until_gone(core::time_point since)
    {
        while (report().worker.state != jobs::worker_state::gone &&
               timers.now() < since + 20s)
            timers.advance(10ms);
        EXPECT_EQ(report().worker.state, jobs::worker_state::gone);
        return timers.now() - since;
    }

    /// @return whether the agent has told the decider that the executor ended
    bool has_announced_end()
    {
        auto const& reports = notices.reports[decider];
        return std::any_of(
            reports.begin(), reports.end(), [](auto const& text) {
                auto const decoded = core::value(jobs::decode_report(text));
                return decoded.worker.state == jobs::worker_state::gone;
            });
    }

    jobs::worker_report report() const
    {
        auto const row = store.find(rows::layout::report_row("a"));
        return core::value(jobs::decode_report(row->value));
    }

    /// Of a lease of 10 s, by a clock that is slow by two percent.
    static constexpr core::duration longest_time_to_stop{10'600};
    std::string const decider = "10.0.0.1:7000";
    support::manual_timers timers;
    memory_row_store store;
    fake_executor executor;
    support::recording_notice_sender notices;
    std::optional<agent_service> agent;
    std::int64_t sequence = 0;
};

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
    executor.born_ms = 100;
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
    executor.born_ms = 100;
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
    executor.born_ms = 100;
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
    executor.born_ms = 100;
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
    executor.born_ms = 100;
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
    executor.born_ms = 100;
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
    executor.born_ms = 100;
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
    executor.born_ms = 50;
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
    executor.born_ms = 50;
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
    executor.born_ms = 50;
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
