#include "scheduler/decider_service.hpp"

#include "core/event_log.hpp"
#include "jobs/row_codec.hpp"
#include "rows/row_layout.hpp"
#include "scheduler/worker_speed_codec.hpp"
#include "support/memory_row_store.hpp"
#include "support/recording_notice_sender.hpp"
#include "support/worker_reports.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::scheduler {
namespace {

using namespace std::chrono_literals;
using support::memory_row_store;

/// Issues tickets for one executor, or answers nothing.
class fake_advice final : public advice_service
{
public:
    void
    request_tickets(std::string const& step,
                    std::span<std::string const> executors,
                    std::function<void(std::optional<tickets>)> done) override
    {
        queried_steps.push_back(step);
        if (!is_available)
            return done(std::nullopt);
        tickets granted;
        for (auto const& executor : executors) {
            if (executor == allowed_executor)
                granted[executor] = "t" + std::to_string(queried_steps.size());
        }
        done(granted);
    }

    std::vector<std::string> queried_steps;
    std::string allowed_executor;
    bool is_available = true;
};

/// Evacuations that the test sets.
class fake_evacuations final : public evacuation_source
{
public:
    evacuation_state evacuations() const override { return state; }

    evacuation_state state{{}, 0ms, 0ms};
};

/// The parts of an entry that the decider needs.
class entry
{
public:
    entry(memory_row_store& store, support::manual_timers& timers,
          std::string name)
        : work_(store, timers,
                {std::string(rows::layout::work_table),
                 500ms,
                 0ms,
                 {},
                 rows::layout::work_parts()},
                [this](rows::row const& changed) { decider.observe(changed); }),
          decider(store, timers, work_,
                  [] { return std::make_shared<jobs::rules const>(); },
                  evacuations,
                  {notices, [] { return std::vector{other_address}; }}, advice,
                  {std::move(name), own_address, {}, {5s}})
    {
        work_.start();
        decider.start();
    }

    inline static std::string const own_address = "10.0.0.1:7000";
    inline static std::string const other_address = "10.0.0.2:7000";

    support::recording_notice_sender notices;
    fake_evacuations evacuations;
    fake_advice advice;

private:
    rows::table_replica work_;

public:
    decider_service decider;
};

class decider_service_test : public testing::Test
{
public:
    decider_service_test() : store(timers) {}

    void add_worker(std::string const& agent)
    {
        auto report = support::make_worker_report(agent);
        report.written_at = timers.now().time_since_epoch();
        store.put(rows::layout::report_row(agent), jobs::encode(report));
    }

    void add_job(std::string const& id, std::int32_t priority = 1)
    {
        jobs::submission job;
        job.job_id = id;
        job.parameters = {"q", "s", priority, 2, 3, 1s};
        job.spec.steps.resize(1);
        job.spec.steps[0].task = {1000, 1000, 1};
        store.put(rows::layout::job_row(id), jobs::encode(job));
    }

    std::optional<rows::row> order(std::string const& id,
                                   std::int64_t run = 1) const
    {
        return store.find(rows::layout::order_row(
            "a", to_text(jobs::run_id{{id, 0, 0, 0}, run})));
    }

    support::manual_timers timers;
    memory_row_store store;
};

TEST_F(decider_service_test, elects_one_entry_which_places_jobs)
{
    entry first(store, timers, "one");
    entry second(store, timers, "two");
    add_worker("a");
    timers.advance(1s);
    EXPECT_NE(first.decider.is_decider(), second.decider.is_decider());
    add_job("j");
    timers.advance(100ms);
    EXPECT_TRUE(order("j"));
}

// Guards against objectives that count anew with each takeover, so that a job
// which is already late displaces one that can still be in time.
TEST_F(decider_service_test, counts_objectives_from_the_acceptance)
{
    add_worker("a");
    auto const now = timers.now().time_since_epoch();
    for (auto const& [id, age] : {std::pair("a-old", 900s), {"b-new", 0s}}) {
        jobs::submission job;
        job.job_id = id;
        job.parameters = {"q", "s", 0, 2, 3, 1s};
        job.spec.steps.resize(1);
        job.spec.steps[0].task = {1000, 1000, 8};
        job.spec.steps[0].estimate = 10s;
        job.accepted_at = now - age;
        store.put(rows::layout::job_row(id), jobs::encode(job));
    }
    entry first(store, timers, "one");
    timers.advance(500ms);
    EXPECT_TRUE(order("b-new"));
    EXPECT_FALSE(order("a-old"));
}

// Guards against entries that end again and again because another program has
// overwritten the row of the lease or of a report.
TEST_F(decider_service_test, survives_odd_rows)
{
    entry first(store, timers, "one");
    add_worker("a");
    timers.advance(1s);
    ASSERT_TRUE(first.decider.is_decider());
    for (auto const* odd :
         {"[[[", "7", R"({"holder":7,"address":[],"term":"x"})",
          R"({"holder":"x","term":1e300})", ""}) {
        store.put(rows::layout::lease_row(), odd);
        store.put(rows::layout::report_row("odd"), odd);
        store.put(rows::layout::job_row("odd"), odd);
        store.put(rows::layout::report_row("b"),
                  jobs::encode(support::make_worker_report("c")));
        timers.advance(2s);
    }
    EXPECT_TRUE(first.decider.is_decider());
    add_worker("a");
    add_job("j");
    timers.advance(500ms);
    EXPECT_TRUE(order("j"));
}

// Guards against a decider that goes on after another has taken over, and
// against a released lease that no entry acquires.
TEST_F(decider_service_test, takes_over_from_a_decider_that_stops)
{
    entry first(store, timers, "one");
    timers.advance(1s);
    ASSERT_TRUE(first.decider.is_decider());
    entry second(store, timers, "two");
    timers.advance(1s);
    EXPECT_FALSE(second.decider.is_decider());
    first.decider.stop();
    timers.advance(500ms);
    EXPECT_TRUE(second.decider.is_decider());
    add_worker("a");
    add_job("j");
    timers.advance(200ms);
    EXPECT_TRUE(order("j"));
}

// Guards against runs on a worker that became silent before this decider took
// over and whose old report is still in the store.
TEST_F(decider_service_test, orders_no_runs_on_a_worker_with_an_old_report)
{
    add_worker("a");
    timers.advance(8s);
    entry first(store, timers, "one");
    timers.advance(1s);
    add_job("j");
    timers.advance(200ms);
    EXPECT_FALSE(order("j"));
    add_worker("a");
    timers.advance(200ms);
    EXPECT_TRUE(order("j"));
}

// Guards against runs that end as lapsed without a line that shows why.
TEST_F(decider_service_test, logs_agents_whose_runs_have_lapsed)
{
    entry decider(store, timers, "one");
    add_worker("a");
    add_job("j");
    timers.advance(1s);
    ASSERT_TRUE(order("j"));
    auto const count = [] { return core::event_counts()["agent_lost"]; };
    auto const before = count();
    timers.advance(scheduler_limits{}.lost_after - 3s);
    EXPECT_EQ(count(), before);
    timers.advance(4s);
    EXPECT_EQ(count(), before + 1);
}

// The decider no longer hears what operators request, while it still writes.
// Guards against placing work in a data centre that was evacuated since.
TEST_F(decider_service_test, holds_starts_while_evacuations_are_not_known)
{
    entry first(store, timers, "one");
    add_worker("a");
    timers.advance(1s);
    first.evacuations.state.age = 3500ms;
    add_job("j");
    timers.advance(500ms);
    EXPECT_FALSE(order("j"));
    first.evacuations.state = {{}, 9000ms, 100ms};
    timers.advance(500ms);
    auto const written = order("j");
    ASSERT_TRUE(written);
    EXPECT_EQ(core::value(jobs::decode_order(written->value)).start_deadline,
              13'000ms);
}

// Guards against learning the speed of all workers anew after each takeover,
// while urgent work runs on slow ones, and against an odd row that ends the
// decider.
TEST_F(decider_service_test, keeps_the_speed_of_workers_over_a_takeover)
{
    add_worker("a");
    add_worker("b");
    store.put(rows::layout::worker_speed_row(), encode({{"b", {-0.5, 9}}}));
    entry first(store, timers, "one");
    timers.advance(500ms);
    add_job("urgent", 0);
    timers.advance(200ms);
    EXPECT_FALSE(order("urgent"));
    EXPECT_TRUE(store.find(rows::layout::order_row("b", "urgent.0.0.0/1")));
    for (auto const* odd : {"[", "[]", R"({"b":7})", R"({"b":[900000,1]})"})
        EXPECT_FALSE(core::is_ok(decode_worker_speeds(odd))) << odd;
}

// Guards against orders that are repeated or lost when the answer of the store
// is lost.
TEST_F(decider_service_test, retries_a_commit_whose_answer_was_lost)
{
    entry first(store, timers, "one");
    add_worker("a");
    timers.advance(1s);
    store.next_commits = memory_row_store::fault::response_lost;
    add_job("j");
    timers.advance(1500ms);
    store.next_commits = memory_row_store::fault::none;
    timers.advance(2s);
    EXPECT_TRUE(first.decider.is_decider());
    // It has recognised its own write, and has not given up the lease.
    auto const lease = store.find(rows::layout::lease_row());
    EXPECT_EQ(core::value(decode_lease(lease->value)).term, 1);
    EXPECT_TRUE(order("j"));
    EXPECT_FALSE(order("j", 2));
    add_worker("a");
    add_job("k");
    timers.advance(200ms);
    EXPECT_TRUE(order("k"));
}

// Guards against a delayed write of the previous decider that takes effect
// after a takeover.
TEST_F(decider_service_test, rejects_delayed_writes_of_the_previous_decider)
{
    auto first = std::make_unique<entry>(store, timers, "one");
    add_worker("a");
    timers.advance(1s);
    store.next_commits = memory_row_store::fault::silent;
    add_job("j");
    timers.advance(100ms);
    first.reset();
    store.next_commits = memory_row_store::fault::none;
    entry second(store, timers, "two");
    timers.advance(4s);
    add_worker("a");
    timers.advance(200ms);
    ASSERT_TRUE(second.decider.is_decider());
    EXPECT_EQ(store.apply_delayed_commits(), 0U);
    EXPECT_TRUE(order("j"));
}

// Guards against a second run of a task because the new decider has not read
// the stored order.
TEST_F(decider_service_test, keeps_stored_orders_after_a_takeover)
{
    auto first = std::make_unique<entry>(store, timers, "one");
    add_worker("a");
    add_job("j");
    timers.advance(1s);
    ASSERT_TRUE(order("j"));
    first.reset();
    entry second(store, timers, "two");
    timers.advance(4s);
    ASSERT_TRUE(second.decider.is_decider());
    EXPECT_TRUE(order("j"));
    EXPECT_FALSE(order("j", 2));
}

/// A decider that ends while it writes a change of more rows than a transaction
/// holds, and the next one.
class large_change_test : public decider_service_test
{
public:
    static constexpr std::int32_t task_count = 150;

    large_change_test()
    {
        first = std::make_unique<entry>(store, timers, "one");
        report = support::make_worker_report("a");
        report.worker.capacity = {1'000'000, 1'000'000, 1000};
        put_report();
        jobs::submission job;
        job.job_id = "j";
        job.parameters = {"q", "s", 1, 2, 3, 1s};
        job.spec.steps.resize(1);
        job.spec.steps[0].task_count = task_count;
        job.spec.steps[0].task = {1000, 1000, 1};
        store.put(rows::layout::job_row("j"), jobs::encode(job));
    }

    void put_report()
    {
        report.written_at = timers.now().time_since_epoch();
        store.put(rows::layout::report_row("a"), jobs::encode(report));
    }

    static jobs::run_id run_of(std::int32_t index, std::int64_t number = 1)
    {
        return {{"j", 0, 0, index}, number};
    }

    /// @return the runs that an agent is ordered to start
    std::vector<jobs::run_id> stored_orders(std::string const& agent) const
    {
        std::vector<jobs::run_id> stored;
        for (std::int32_t index = 0; index < task_count; ++index) {
            for (std::int64_t number = 1; number <= 2; ++number) {
                auto const run = run_of(index, number);
                if (store.find(rows::layout::order_row(agent, to_text(run))))
                    stored.push_back(run);
            }
        }
        return stored;
    }

    /// Advances the time until only some orders are stored.
    void wait_for_partial_write()
    {
        auto const is_partial = [this] {
            auto const count = stored_orders("a").size();
            return count > 0 && count < task_count;
        };
        for (int step = 0; step < 10'000 && !is_partial(); ++step)
            timers.advance(1ms);
        ASSERT_TRUE(is_partial());
    }

    /// Lets the agent report these runs as done.
    void report_done(std::vector<jobs::run_id> const& runs)
    {
        report.ended.clear();
        for (auto const& run : runs)
            report.ended.push_back({run, jobs::run_end::done, ""});
        put_report();
    }

    /// Lets the agents report for a while. The first one drops ends whose
    /// orders are gone, and starts nothing more.
    void wait_for_takeover()
    {
        report.worker.state = jobs::worker_state::draining;
        report.worker.remaining = 1h;
        auto idle = support::make_worker_report("b");
        idle.worker.capacity = report.worker.capacity;
        for (int step = 0; step < 20; ++step) {
            timers.advance(200ms);
            std::erase_if(report.ended, [this](auto const& ended) {
                return !store.find(
                    rows::layout::order_row("a", to_text(ended.run)));
            });
            put_report();
            idle.written_at = report.written_at;
            store.put(rows::layout::report_row("b"), jobs::encode(idle));
        }
    }

    std::unique_ptr<entry> first;
    jobs::worker_report report;
};

// Guards against tasks that run twice: the decider ends after it has stored
// some of the orders of a large job, and their runs end before the takeover.
TEST_F(large_change_test, orders_no_done_task_again_after_a_partial_start)
{
    wait_for_partial_write();
    first.reset();
    auto const ordered = stored_orders("a");
    report_done(ordered);
    entry second(store, timers, "two");
    wait_for_takeover();
    ASSERT_TRUE(second.decider.is_decider());
    EXPECT_TRUE(stored_orders("a").empty());
    EXPECT_EQ(stored_orders("b").size(), task_count - ordered.size());
}

// Guards against tasks that run twice: the decider ends after it has removed
// some of the orders of runs that were done.
TEST_F(large_change_test, orders_no_done_task_again_after_a_partial_removal)
{
    for (int step = 0; step < 1000 && stored_orders("a").size() < task_count;
         ++step)
        timers.advance(1ms);
    report_done(stored_orders("a"));
    wait_for_partial_write();
    first.reset();
    report_done(stored_orders("a"));
    entry second(store, timers, "two");
    wait_for_takeover();
    ASSERT_TRUE(second.decider.is_decider());
    EXPECT_TRUE(stored_orders("b").empty());
}

// Guards against urgent work that is delayed while the feeds of the store are
// silent for a second.
TEST_F(decider_service_test, sends_notices_of_urgent_orders_and_final_states)
{
    entry only(store, timers, "one");
    add_worker("a");
    timers.advance(1s);
    add_job("patient");
    add_job("urgent", 0);
    timers.advance(100ms);
    auto const& sent = only.notices.rows["a:7000"];
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].decider_address, entry::own_address);
    ASSERT_EQ(sent[0].rows.size(), 1U);
    auto const stored = order("urgent");
    ASSERT_TRUE(stored);
    EXPECT_EQ(sent[0].rows[0].key, stored->key);
    EXPECT_EQ(sent[0].rows[0].version, stored->version);
    auto report = support::make_worker_report("a");
    report.written_at = timers.now().time_since_epoch();
    report.ended = {{{{"urgent", 0, 0, 0}, 1}, jobs::run_end::done, ""}};
    EXPECT_TRUE(only.decider.receive_report(jobs::encode(report)));
    timers.advance(100ms);
    auto const& ends = only.notices.rows[entry::other_address];
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].rows.at(0).key, rows::layout::progress_row("urgent"));
}

TEST_F(decider_service_test, accepts_direct_reports_only_as_the_decider)
{
    entry first(store, timers, "one");
    timers.advance(1s);
    entry second(store, timers, "two");
    timers.advance(1s);
    auto const report = jobs::encode(support::make_worker_report("a"));
    EXPECT_TRUE(first.decider.receive_report(report));
    EXPECT_FALSE(second.decider.receive_report(report));
}

// The store rejects the decider's calls but serves the other entries. Guards
// against a second without scheduling until the lease has expired.
TEST_F(decider_service_test, takes_over_without_waiting_on_request)
{
    entry first(store, timers, "one");
    timers.advance(1s);
    entry second(store, timers, "two");
    timers.advance(1s);
    ASSERT_TRUE(first.decider.is_decider());
    first.decider.request_takeover();
    second.decider.request_takeover();
    EXPECT_EQ(first.notices.takeover_requests,
              std::vector{entry::other_address});
    EXPECT_TRUE(second.notices.takeover_requests.empty());
    second.decider.take_over();
    timers.advance(50ms);
    EXPECT_TRUE(second.decider.is_decider());
    timers.advance(1s);
    EXPECT_FALSE(first.decider.is_decider());
}

// Guards against starts that executors refuse because they lack a ticket.
TEST_F(decider_service_test, requests_a_ticket_before_it_orders_a_start)
{
    entry only(store, timers, "one");
    only.advice.allowed_executor = "i-b";
    only.advice.is_available = false;
    add_worker("a");
    add_worker("b");
    timers.advance(1s);
    jobs::submission job;
    job.job_id = "j";
    job.parameters = {"q", "s", 1, 2, 3, 1s, 3s};
    job.spec.steps.resize(1);
    store.put(rows::layout::job_row("j"), jobs::encode(job));
    timers.advance(1s);
    EXPECT_FALSE(only.advice.queried_steps.empty());
    EXPECT_EQ(only.advice.queried_steps.front(), "j.0.0");
    EXPECT_FALSE(order("j"));
    only.advice.is_available = true;
    add_worker("a");
    add_worker("b");
    timers.advance(500ms);
    auto const row = store.find(
        rows::layout::order_row("b", to_text(jobs::run_id{{"j", 0, 0, 0}, 1})));
    ASSERT_TRUE(row);
    EXPECT_FALSE(core::value(jobs::decode_order(row->value)).ticket.empty());
}

// Guards against a task that runs twice: an agent reports a new incarnation of
// its executor directly, and the next decider finds an older one in the store.
TEST_F(decider_service_test, accepts_new_incarnations_only_from_the_store)
{
    entry only(store, timers, "one");
    add_worker("a");
    timers.advance(1s);
    add_worker("a");
    timers.advance(50ms);
    auto newer = support::make_worker_report("a", 2);
    newer.written_at = timers.now().time_since_epoch();
    EXPECT_TRUE(only.decider.receive_report(jobs::encode(newer)));
    add_job("j");
    timers.advance(100ms);
    auto const row = order("j");
    ASSERT_TRUE(row);
    EXPECT_EQ(core::value(jobs::decode_order(row->value)).executor.born_ms, 1);
}

// Guards against a task that runs twice: the next decider finds only the former
// session in the store, and takes the agent as lost while it starts the run.
TEST_F(decider_service_test, accepts_new_sessions_only_from_the_store)
{
    entry only(store, timers, "one");
    add_worker("a");
    timers.advance(1s);
    add_worker("a");
    timers.advance(50ms);
    auto newer = support::make_worker_report("a");
    newer.session = "s-2";
    newer.written_at = timers.now().time_since_epoch();
    EXPECT_TRUE(only.decider.receive_report(jobs::encode(newer)));
    add_job("j");
    timers.advance(100ms);
    auto const row = order("j");
    ASSERT_TRUE(row);
    EXPECT_EQ(core::value(jobs::decode_order(row->value)).session, "");
}

// After the store has dropped its history, its reads are seconds old. Guards
// against orders that a new decider does not see and issues again.
TEST_F(decider_service_test, rereads_stale_pages_of_orders)
{
    std::optional<entry> first(std::in_place, store, timers, "one");
    add_worker("a");
    timers.advance(1s);
    add_job("j");
    timers.advance(100ms);
    ASSERT_TRUE(order("j"));
    first.reset();
    store.table_read_as_empty = rows::layout::order_table_of("a");
    entry second(store, timers, "two");
    timers.advance(2500ms);
    add_worker("a");
    timers.advance(100ms);
    ASSERT_TRUE(second.decider.is_decider());
    EXPECT_FALSE(order("j", 2));
    store.table_read_as_empty.clear();
    timers.advance(1s);
    EXPECT_FALSE(order("j", 2));
}

// After the store has dropped its history, its reads are seconds old. Guards
// against a run that is ordered again while it is at work, since the decider
// does not see the latest report of its agent.
TEST_F(decider_service_test, takes_no_agent_as_lost_by_stale_reports)
{
    entry only(store, timers, "one");
    add_worker("a");
    timers.advance(1s);
    add_job("j");
    timers.advance(100ms);
    ASSERT_TRUE(order("j"));
    add_worker("a");
    timers.advance(15s);
    store.keep_state_for_stale_reads();
    store.are_reads_stale = true;
    store.reads = memory_row_store::fault::silent;
    timers.advance(1s);
    add_worker("a");
    store.drop_history();
    store.reads = memory_row_store::fault::none;
    timers.advance(3s);
    EXPECT_TRUE(order("j"));
    store.are_reads_stale = false;
    timers.advance(1s);
    EXPECT_TRUE(order("j"));
}

// Guards against tasks that run again after they are done: the next decider has
// the lease from a full read of the table that it began before it acquired the
// lease, and so lacks jobs that were stored meanwhile.
TEST_F(decider_service_test, decides_on_no_rows_from_before_its_lease)
{
    std::optional<entry> first(std::in_place, store, timers, "one");
    timers.advance(1s);
    add_job("i");
    entry second(store, timers, "two");
    timers.advance(1s);
    // The second entry reads the table anew, and is slow to get one part.
    auto const work_part = rows::layout::lease_row().part;
    store.read_delays[work_part] = 2s;
    store.reads = memory_row_store::fault::silent;
    timers.advance(600ms);
    add_worker("a");
    store.drop_history();
    store.reads = memory_row_store::fault::none;
    timers.advance(1s);
    store.read_delays.clear();
    store.silent_feed_prefix = rows::layout::work_table;
    // The first one carries out a job and ends.
    first.reset();
    add_job("j");
    jobs::job_progress done;
    done.state = jobs::job_state::completed;
    store.put(rows::layout::progress_row("j"), jobs::encode(done));
    second.decider.take_over();
    timers.advance(100ms);
    ASSERT_TRUE(second.decider.is_decider());
    timers.advance(3s);
    store.silent_feed_prefix.reset();
    timers.advance(1s);
    add_worker("a");
    timers.advance(1s);
    EXPECT_FALSE(order("j"));
    EXPECT_TRUE(order("i"));
}

// Guards against a cancelled job that runs because its cancellation arrives in
// a notice, before the job itself arrives through the feed of the store.
TEST_F(decider_service_test, cancels_a_job_that_arrives_after_its_cancellation)
{
    entry only(store, timers, "one");
    add_worker("a");
    timers.advance(1s);
    store.put(rows::layout::cancel_row("j"), "{}");
    timers.advance(50ms);
    add_job("j");
    timers.advance(100ms);
    EXPECT_FALSE(order("j"));
    auto const row = store.find(rows::layout::progress_row("j"));
    ASSERT_TRUE(row);
    EXPECT_EQ(core::value(jobs::decode_progress(row->value)).state,
              jobs::job_state::cancelled);
}

// Guards against a run that never starts again: its agent has ended, and the
// first list of parts that the next decider reads lacks that of its report.
TEST_F(decider_service_test, restarts_runs_of_an_agent_that_a_stale_list_lacks)
{
    add_job("j");
    store.keep_state_for_stale_reads();
    add_worker("a");
    {
        entry first(store, timers, "one");
        timers.advance(1s);
        ASSERT_TRUE(order("j"));
    }
    store.are_part_lists_stale = true;
    entry second(store, timers, "two");
    timers.advance(10s);
    ASSERT_TRUE(second.decider.is_decider());
    store.are_part_lists_stale = false;
    auto const next_run =
        rows::layout::order_row("b", to_text(jobs::run_id{{"j", 0, 0, 0}, 2}));
    for (auto waited = 0s; waited < 60s && !store.find(next_run);
         waited += 1s) {
        add_worker("b");
        timers.advance(1s);
    }
    EXPECT_TRUE(store.find(next_run));
}

} // namespace
} // namespace sequoiaroute::scheduler
