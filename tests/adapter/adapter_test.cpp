#include "advice_client.hpp"
#include "customer_server.hpp"
#include "executor_client.hpp"
#include "heartbeat_server.hpp"
#include "operator_table.hpp"
#include "store_client.hpp"

#include "core/codec.hpp"
#include "scripted_client.hpp"
#include "support/memory_row_store.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::adapter {
namespace {

using namespace std::chrono_literals;
using core::json;

event::http_call_result make_reply(int status, std::string body)
{
    return {status, false, std::move(body)};
}

// Guards against treating a commit without a response as not done, and a
// refused one as unknown.
TEST(store_client, distinguishes_refused_and_unanswered_commits)
{
    scripted_client client;
    store_client store(client, "10.0.0.1:1");
    rows::commit_result result;
    auto const commit = [&](event::http_call_result reply) {
        client.reply = std::move(reply);
        store.commit({}, 1s, [&](auto const& received) { result = received; });
        return result.outcome;
    };
    EXPECT_EQ(commit(make_reply(200, R"({"Ver":7})")),
              rows::commit_outcome::committed);
    EXPECT_EQ(result.version, 7U);
    EXPECT_EQ(commit(make_reply(503, "")), rows::commit_outcome::not_done);
    EXPECT_EQ(commit(make_reply(429, "")), rows::commit_outcome::not_done);
    EXPECT_EQ(commit({0, true, ""}), rows::commit_outcome::not_done);
    EXPECT_EQ(commit({0, false, ""}), rows::commit_outcome::unknown);
    EXPECT_EQ(commit(make_reply(412, R"({"rows":[{"Table":"t","part":"p",
        "Key":"k","Value":"YWI=","Ver":3}]})")),
              rows::commit_outcome::conflict);
    EXPECT_EQ(result.current.at(0).value, "ab");
}

// Guards against orders without the ticket that the executor requires, and
// against using an executor that was granted none.
TEST(advice_client, passes_granted_tickets_to_executors)
{
    scripted_client client;
    advice_client advice(client, "10.0.0.1:1");
    std::optional<scheduler::advice_service::tickets> tickets;
    std::vector<std::string> const executors{"i-1", "i-2"};
    auto const request_tickets = [&](event::http_call_result reply) {
        client.reply = std::move(reply);
        advice.request_tickets(
            "j.0.1", executors,
            [&](auto const& granted_tickets) { tickets = granted_tickets; });
        return tickets.has_value();
    };
    ASSERT_TRUE(request_tickets(
        make_reply(200, R"({"Granted":[["i-2","t-7"]],"ValidMs":3000})")));
    EXPECT_EQ(tickets->size(), 1U);
    EXPECT_EQ(tickets->at("i-2"), "t-7");
    EXPECT_EQ(json::parse(client.calls.back().body),
              (json{{"Step", "j.0.1"}, {"Workers", {"i-1", "i-2"}}}));
    EXPECT_FALSE(request_tickets(make_reply(429, "")));
    EXPECT_FALSE(request_tickets(make_reply(200, R"({"Granted":[[1]]})")));
    executor_client executor(client, "10.0.0.2:1");
    jobs::run_order order;
    order.ticket = "t-7";
    executor.start(order, 1000, [](auto const&) {});
    EXPECT_EQ(json::parse(client.calls.back().body).at("Ticket"), "t-7");
}

TEST(store_client, encodes_transaction)
{
    scripted_client client;
    store_client store(client, "10.0.0.1:1");
    rows::row_key const key{"t", "p", "k"};
    store.commit({{{key, 4}}, {{key, "ab"}}, {key}}, 1s, [](auto const&) {});
    auto const body = json::parse(client.calls.at(0).body);
    EXPECT_EQ(body["ExpectedRev"][0]["Ver"], 4);
    EXPECT_EQ(body["Puts"][0]["Value"], "YWI=");
    EXPECT_EQ(body["Remove"][0]["Key"], "k");
}

TEST(store_client, escapes_keys_in_queries)
{
    scripted_client client;
    store_client store(client, "10.0.0.1:1");
    store.read({"t", "", "a/b", "a0", 5}, [](auto const&) {});
    EXPECT_NE(client.calls.at(0).path.find("From=a%2Fb&Target=a0"),
              std::string::npos);
}

// Guards against continuing from a change feed that has lost changes, and
// against dropping valid rows because another one is invalid.
TEST(store_client, reports_lost_history_and_skips_invalid_rows)
{
    scripted_client client;
    store_client store(client, "10.0.0.1:1");
    rows::feed_page page;
    client.reply = make_reply(410, "{}");
    store.poll_feed("t", 3, 500ms,
                    [&](auto const& received) { page = received; });
    EXPECT_EQ(page.outcome, rows::feed_outcome::history_lost);
    client.reply =
        make_reply(200, R"({"rows":[{"Table":"t","part":"p","Key":"k",
        "Ver":9,"Removed":true},{"Table":3}],"Ver":9,"NowMs":77})");
    store.poll_feed("t", 3, 500ms,
                    [&](auto const& received) { page = received; });
    ASSERT_EQ(page.rows.size(), 1U);
    EXPECT_TRUE(page.rows[0].is_removed);
    EXPECT_EQ(page.store_time, 77ms);
}

TEST(executor_client, decodes_lists_of_runs)
{
    scripted_client client;
    executor_client executor(client, "10.0.0.1:1");
    client.reply = make_reply(200, R"({"ClockMs":482113,"born":12,
        "Running":[["5c0e.0.1.17",2,"cp",41]],
        "Finished":[[58,"5c0e.0.1.9",1,"broken",""]]})");
    agents::executor_snapshot lists;
    executor.poll(57, 486000, 1s,
                  [&](auto const& received) { lists = received; });
    ASSERT_TRUE(lists.is_ok);
    EXPECT_EQ(lists.born_ms, 12);
    EXPECT_EQ(lists.running.at(0).run, (jobs::run_id{{"5c0e", 0, 1, 17}, 2}));
    EXPECT_EQ(lists.ended.at(0).number, 58);
    EXPECT_EQ(lists.ended.at(0).task.end, jobs::run_end::broken);
    EXPECT_TRUE(lists.has_all_ends);
    auto const body = json::parse(client.calls.at(0).body);
    EXPECT_EQ(
        body,
        (json{{"AckedUpto", 57}, {"DeadlineMs", 486000}, {"WaitMs", 1000}}));
    client.reply = make_reply(200, R"({"ClockMs":1,"Running":[[1]]})");
    executor.poll(0, std::nullopt, 0ms,
                  [&](auto const& received) { lists = received; });
    EXPECT_FALSE(lists.is_ok);
}

// Guards against taking a run as never started whose end does not fit in the
// list, of which an executor returns 500 at a time.
TEST(executor_client, marks_a_list_of_ends_that_may_be_cut)
{
    scripted_client client;
    executor_client executor(client, "10.0.0.1:1");
    agents::executor_snapshot lists;
    auto const poll = [&](std::int64_t count) {
        json ended = json::array();
        for (std::int64_t number = 1; number <= count; ++number)
            ended.push_back({number, "5c0e.0.1.9", number, "done", ""});
        json const body{{"ClockMs", 1},
                        {"Running", json::array()},
                        {"Finished", std::move(ended)}};
        client.reply = make_reply(200, body.dump());
        executor.poll(0, std::nullopt, 0ms,
                      [&](auto const& received) { lists = received; });
        return lists.has_all_ends;
    };
    EXPECT_TRUE(poll(499));
    EXPECT_FALSE(poll(500));
    EXPECT_EQ(lists.ended.size(), 500U);
}

// Guards against retrying an order that was refused permanently, and against
// giving up one that may have been carried out.
TEST(executor_client, distinguishes_replies_to_orders)
{
    scripted_client client;
    executor_client executor(client, "10.0.0.1:1");
    jobs::run_order order;
    order.executor.id = "i-1";
    agents::order_reply reply;
    auto const start = [&](event::http_call_result next_reply) {
        client.reply = std::move(next_reply);
        executor.start(order, 100,
                       [&](auto const& received) { reply = received; });
        return reply.outcome;
    };
    using agents::order_outcome;
    EXPECT_EQ(start(make_reply(200, R"({"ClockMs":5})")), order_outcome::done);
    EXPECT_EQ(reply.clock_ms, 5);
    EXPECT_EQ(start(make_reply(409, R"({"Reason":"late"})")),
              order_outcome::too_late);
    EXPECT_EQ(start(make_reply(409, R"({"Reason":"old"})")),
              order_outcome::refused);
    EXPECT_EQ(start(make_reply(421, "")), order_outcome::wrong_executor);
    EXPECT_EQ(start(make_reply(503, "")), order_outcome::busy);
    EXPECT_EQ(start({0, false, ""}), order_outcome::unknown);
    EXPECT_EQ(start({0, true, ""}), order_outcome::not_reached);
}

constexpr std::string_view valid_heartbeat =
    R"({"Service":"s","Addr":"10.1.0.9:80","Zone":"z","Version":"v1","Slots":8,
        "State":"ready","ColdLeftMs":700,"Capacity":{"Cpu":16000,"MemMb":32768,
        "Gpu":8},"Labels":["a","r1-3"],"ClockMs":482113,"Seq":4,"born":99})";

TEST(heartbeat, decodes_worker_description)
{
    auto const message = decode_heartbeat("i-1", valid_heartbeat);
    ASSERT_TRUE(core::is_ok(message));
    auto const& worker = core::value(message).worker;
    EXPECT_EQ(worker.executor, (jobs::incarnation{"i-1", 99}));
    EXPECT_EQ(worker.rack, "r1-3");
    EXPECT_EQ(worker.cold_for, 700ms);
    EXPECT_EQ(worker.capacity, (jobs::resources{16000, 32768, 8}));
    EXPECT_EQ(core::value(message).sequence, 4);
}

/// The table of the operators, in a store that the test writes to.
class operator_table_test : public testing::Test
{
public:
    operator_table_test() : store(timers), table(store, timers)
    {
        table.start();
        timers.advance(50ms);
    }

    static rows::row_key evacuation_row(std::string const& data_centre)
    {
        return {"op", "", "evacuate/" + data_centre};
    }

    void withdraw(std::string const& data_centre)
    {
        rows::transaction removal;
        removal.removals.push_back(evacuation_row(data_centre));
        store.commit(removal, 1s, [](auto const&) {});
    }

    std::set<std::string> data_centres() const
    {
        return table.evacuations().data_centres;
    }

    support::manual_timers timers;
    support::memory_row_store store;
    operator_table table;
};

using names = std::set<std::string>;

TEST_F(operator_table_test, follows_evacuations)
{
    store.put(evacuation_row("z1"), "{}");
    store.put(evacuation_row("z2"), "");
    timers.advance(50ms);
    EXPECT_EQ(data_centres(), (names{"z1", "z2"}));
    withdraw("z1");
    timers.advance(50ms);
    EXPECT_EQ(data_centres(), names{"z2"});
    store.put(evacuation_row("z1"), "{}");
    timers.advance(50ms);
    EXPECT_EQ(data_centres(), (names{"z1", "z2"}));
}

// Guards against an evacuation that is missed, or stays in force for good,
// because the store has dropped the change from its history.
TEST_F(operator_table_test, follows_evacuations_over_a_dropped_history)
{
    store.put(evacuation_row("z1"), "{}");
    timers.advance(50ms);
    store.reads = support::memory_row_store::fault::refused;
    timers.advance(1s);
    withdraw("z1");
    store.put(evacuation_row("z2"), "{}");
    store.drop_history();
    store.reads = support::memory_row_store::fault::none;
    timers.advance(3s);
    EXPECT_EQ(data_centres(), names{"z2"});
}

// Guards against evacuations that count as current although no answer of the
// store has confirmed them.
TEST_F(operator_table_test, tells_up_to_when_evacuations_are_known)
{
    timers.advance(2s);
    auto const known = table.evacuations();
    ASSERT_TRUE(known.confirmed_at);
    EXPECT_LE(known.age, 2s);
    EXPECT_LE(*known.confirmed_at, timers.now().time_since_epoch());
    store.reads = support::memory_row_store::fault::refused;
    timers.advance(5s);
    auto const later = table.evacuations();
    EXPECT_GE(later.age, 4s);
    EXPECT_LE(*later.confirmed_at, timers.now().time_since_epoch() - 4s);
}

// Guards against placing work on an executor whose heartbeat is incomplete or
// invalid.
TEST(heartbeat, rejects_missing_and_invalid_fields)
{
    auto const is_accepted_with = [](char const* field, json const& value) {
        auto body = json::parse(valid_heartbeat);
        if (value.is_null())
            body.erase(field);
        else
            body[field] = value;
        return core::is_ok(decode_heartbeat("i-1", body.dump()));
    };
    EXPECT_FALSE(is_accepted_with("State", "odd"));
    EXPECT_FALSE(is_accepted_with("State", 3));
    EXPECT_FALSE(is_accepted_with("Seq", "4"));
    EXPECT_FALSE(is_accepted_with("Service", nullptr));
    EXPECT_FALSE(is_accepted_with("Capacity", 7));
    EXPECT_FALSE(is_accepted_with("Labels", "a"));
    EXPECT_FALSE(is_accepted_with("born", "x"));
    EXPECT_FALSE(core::is_ok(decode_heartbeat("i-1", "\xff{")));
    EXPECT_FALSE(core::is_ok(decode_heartbeat("i-1", "[]")));
}

TEST(decode_rules, decodes_queues_and_customers)
{
    auto const rules = decode_rules(R"({"Version":7,"Routes":[{"Name":"r",
        "Host":"h","PathPrefix":"/p/","TargetRuntimeMs":250,"Priority":1,
        "Service":"s","MaxAttempts":3,"Stretch":1.5,"Public":true}],
        "Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Guaranteed":{"Gpu":16}}],
        "Limits":{"MaxBodyBytes":4096}})");
    ASSERT_TRUE(core::is_ok(rules));
    auto const& decoded_rules = core::value(rules);
    EXPECT_EQ(decoded_rules.version, 7U);
    EXPECT_EQ(decoded_rules.queues.at(0).parameters.max_attempts, 3);
    EXPECT_TRUE(decoded_rules.queues.at(0).is_public);
    EXPECT_EQ(decoded_rules.customer_by_key.at("k2"), "t");
    EXPECT_EQ(decoded_rules.guaranteed_accelerators.at("t"), 16);
    EXPECT_FALSE(core::is_ok(decode_rules("{}")));
}

TEST(customer_server, decodes_jobs)
{
    auto const job = decode_job(R"json({"Spec":"(text)","Steps":[{"Count":4,
        "Cpu":500,"MemMb":256,"EstimateMs":900,"Affinity":"r1-3"},{"Count":20,
        "After":[0],"Checkpointing":true,"Gang":true}],"Repeats":3,
        "FirstMs":1700000000000,"IntervalMs":3000})json");
    ASSERT_TRUE(job);
    EXPECT_EQ(job->steps.at(0).data_rack, "r1-3");
    EXPECT_TRUE(job->steps.at(1).is_gang);
    EXPECT_EQ(job->repeats, 3);
    EXPECT_FALSE(decode_job("{}"));
    std::string steps = "{}";
    for (std::size_t count = 1; count < jobs::max_steps; ++count)
        steps += ",{}";
    EXPECT_TRUE(decode_job(R"({"Steps":[)" + steps + "]}"));
    EXPECT_FALSE(decode_job(R"({"Steps":[)" + steps + ",{}]}"));
    EXPECT_FALSE(decode_job(R"({"Steps":[{"Count":"x"}]})"));
}

// Guards against reporting a job that may have been stored as not accepted.
TEST(customer_server, encodes_unknown_outcome_as_504)
{
    gateway::customer_reply reply;
    reply.outcome = gateway::call_outcome::unknown;
    EXPECT_EQ(encode_reply(reply).status, 504);
    reply.outcome = gateway::call_outcome::not_accepted;
    reply.retry_after = 1200ms;
    auto const refusal = encode_reply(reply);
    EXPECT_EQ(refusal.status, 503);
    EXPECT_EQ(refusal.headers.at(0).second, "2");
}

} // namespace
} // namespace sequoiaroute::adapter
