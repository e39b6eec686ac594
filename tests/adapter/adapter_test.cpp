#include "advice_client.hpp"
#include "customer_server.hpp"
#include "executor_client.hpp"
#include "heartbeat_server.hpp"
#include "rules_decoder.hpp"
#include "store_client.hpp"

#include "core/codec.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::adapter {
namespace {

using namespace std::chrono_literals;
using core::json;

/// Answers each call at once with what the test has set.
class scripted_client final : public event::http_client
{
public:
    void call(event::http_call call, callback done) override
    {
        calls.push_back(std::move(call));
        done(reply);
    }

    event::http_call_result reply;
    std::vector<event::http_call> calls;
};

event::http_call_result answer(int status, std::string body)
{
    return {status, false, std::move(body)};
}

TEST(store_client, tells_refusals_from_silence)
{
    scripted_client client;
    store_client store(client, "10.0.0.1:1");
    rows::commit_result result;
    auto const commit = [&](event::http_call_result reply) {
        client.reply = std::move(reply);
        store.commit({}, 1s, [&](auto const& got) { result = got; });
        return result.outcome;
    };
    EXPECT_EQ(commit(answer(200, R"({"Ver":7})")),
              rows::commit_outcome::committed);
    EXPECT_EQ(result.version, 7U);
    EXPECT_EQ(commit(answer(503, "")), rows::commit_outcome::not_done);
    EXPECT_EQ(commit(answer(429, "")), rows::commit_outcome::not_done);
    EXPECT_EQ(commit({0, true, ""}), rows::commit_outcome::not_done);
    EXPECT_EQ(commit({0, false, ""}), rows::commit_outcome::unknown);
    EXPECT_EQ(commit(answer(412, R"({"rows":[{"Table":"t","part":"p",
        "Key":"k","Value":"YWI=","Ver":3}]})")),
              rows::commit_outcome::conflict);
    EXPECT_EQ(result.current.at(0).value, "ab");
}

// Guards against a start that is refused for want of its ticket, and against a
// ticket for an executor that got none.
TEST(advice_client, carries_tickets_from_the_service_to_the_start)
{
    scripted_client client;
    advice_client advice(client, "10.0.0.1:1");
    std::optional<scheduler::advice_service::tickets> tickets;
    std::vector<std::string> const executors{"i-1", "i-2"};
    auto const request_tickets = [&](event::http_call_result reply) {
        client.reply = std::move(reply);
        advice.request_tickets("j.0.1", executors,
                               [&](auto const& given) { tickets = given; });
        return tickets.has_value();
    };
    ASSERT_TRUE(request_tickets(
        answer(200, R"({"Granted":[["i-2","t-7"]],"ValidMs":3000})")));
    EXPECT_EQ(tickets->size(), 1U);
    EXPECT_EQ(tickets->at("i-2"), "t-7");
    EXPECT_EQ(json::parse(client.calls.back().body),
              (json{{"Step", "j.0.1"}, {"Workers", {"i-1", "i-2"}}}));
    EXPECT_FALSE(request_tickets(answer(429, "")));
    EXPECT_FALSE(request_tickets(answer(200, R"({"Granted":[[1]]})")));
    executor_client executor(client, "10.0.0.2:1");
    jobs::run_order order;
    order.ticket = "t-7";
    executor.start(order, 1000, [](auto const&) {});
    EXPECT_EQ(json::parse(client.calls.back().body).at("Ticket"), "t-7");
}

TEST(store_client, encodes_a_transaction)
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

TEST(store_client, recognises_a_lost_history)
{
    scripted_client client;
    store_client store(client, "10.0.0.1:1");
    rows::feed_page page;
    client.reply = answer(410, "{}");
    store.follow("t", 3, 500ms, [&](auto const& got) { page = got; });
    EXPECT_EQ(page.outcome, rows::feed_outcome::history_lost);
    client.reply = answer(200, R"({"rows":[{"Table":"t","part":"p","Key":"k",
        "Ver":9,"Removed":true},{"Table":3}],"Ver":9})");
    store.follow("t", 3, 500ms, [&](auto const& got) { page = got; });
    ASSERT_EQ(page.rows.size(), 1U);
    EXPECT_TRUE(page.rows[0].is_removed);
}

TEST(executor_client, decodes_its_lists)
{
    scripted_client client;
    executor_client executor(client, "10.0.0.1:1");
    client.reply = answer(200, R"({"ClockMs":482113,"born":12,
        "Running":[["5c0e.0.1.17",2,"cp",41]],
        "Finished":[[58,"5c0e.0.1.9",1,"broken",""]]})");
    agents::executor_snapshot lists;
    executor.poll(57, 486000, 1s, [&](auto const& got) { lists = got; });
    ASSERT_TRUE(lists.is_ok);
    EXPECT_EQ(lists.born_ms, 12);
    EXPECT_EQ(lists.running.at(0).run, (jobs::run_id{{"5c0e", 0, 1, 17}, 2}));
    EXPECT_EQ(lists.ended.at(0).number, 58);
    EXPECT_EQ(lists.ended.at(0).task.end, jobs::run_end::broken);
    auto const body = json::parse(client.calls.at(0).body);
    EXPECT_EQ(
        body,
        (json{{"AckedUpto", 57}, {"DeadlineMs", 486000}, {"WaitMs", 1000}}));
    client.reply = answer(200, R"({"ClockMs":1,"Running":[[1]]})");
    executor.poll(0, std::nullopt, 0ms, [&](auto const& got) { lists = got; });
    EXPECT_FALSE(lists.is_ok);
}

TEST(executor_client, tells_the_answers_to_orders_apart)
{
    scripted_client client;
    executor_client executor(client, "10.0.0.1:1");
    jobs::run_order order;
    order.executor.id = "i-1";
    agents::order_reply reply;
    auto const start = [&](event::http_call_result given) {
        client.reply = std::move(given);
        executor.start(order, 100, [&](auto const& got) { reply = got; });
        return reply.outcome;
    };
    using agents::order_outcome;
    EXPECT_EQ(start(answer(200, R"({"ClockMs":5})")), order_outcome::done);
    EXPECT_EQ(reply.clock_ms, 5);
    EXPECT_EQ(start(answer(409, R"({"Reason":"late"})")),
              order_outcome::too_late);
    EXPECT_EQ(start(answer(409, R"({"Reason":"old"})")),
              order_outcome::refused);
    EXPECT_EQ(start(answer(421, "")), order_outcome::wrong_executor);
    EXPECT_EQ(start(answer(503, "")), order_outcome::busy);
    EXPECT_EQ(start({0, false, ""}), order_outcome::unknown);
    EXPECT_EQ(start({0, true, ""}), order_outcome::not_reached);
}

constexpr std::string_view good_heartbeat =
    R"({"Service":"s","Addr":"10.1.0.9:80","Zone":"z","Version":"v1","Slots":8,
        "State":"ready","ColdLeftMs":0,"Capacity":{"Cpu":16000,"MemMb":32768,
        "Gpu":8},"Labels":["a","r1-3"],"ClockMs":482113,"Seq":4,"born":99})";

TEST(heartbeat, describes_a_worker)
{
    auto const message = decode_heartbeat("i-1", good_heartbeat);
    ASSERT_TRUE(message);
    EXPECT_EQ(message->worker.executor, (jobs::incarnation{"i-1", 99}));
    EXPECT_EQ(message->worker.rack, "r1-3");
    EXPECT_EQ(message->worker.capacity, (jobs::resources{16000, 32768, 8}));
    EXPECT_EQ(message->sequence, 4);
}

// Guards against an executor that is used although its message is damaged.
TEST(heartbeat, names_no_executor_if_a_field_is_wrong)
{
    auto const damaged = [](char const* field, json const& value) {
        auto body = json::parse(good_heartbeat);
        if (value.is_null())
            body.erase(field);
        else
            body[field] = value;
        return decode_heartbeat("i-1", body.dump()).has_value();
    };
    EXPECT_FALSE(damaged("State", "odd"));
    EXPECT_FALSE(damaged("State", 3));
    EXPECT_FALSE(damaged("Seq", "4"));
    EXPECT_FALSE(damaged("Service", nullptr));
    EXPECT_FALSE(damaged("Capacity", 7));
    EXPECT_FALSE(damaged("Labels", "a"));
    EXPECT_FALSE(damaged("born", "x"));
    EXPECT_FALSE(decode_heartbeat("i-1", "\xff{"));
    EXPECT_FALSE(decode_heartbeat("i-1", "[]"));
}

TEST(rules_decoder, reads_queues_and_customers)
{
    auto const rules = decode_rules(R"({"Version":7,"Routes":[{"Name":"r",
        "Host":"h","PathPrefix":"/p/","TargetRuntimeMs":250,"Priority":1,
        "Service":"s","MaxAttempts":3,"Stretch":1.5,"Public":true}],
        "Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Guaranteed":{"Gpu":16}}],
        "Limits":{"MaxBodyBytes":4096}})");
    ASSERT_TRUE(core::is_ok(rules));
    auto const& known = core::value(rules);
    EXPECT_EQ(known.version, 7U);
    EXPECT_EQ(known.queues.at(0).parameters.max_attempts, 3);
    EXPECT_TRUE(known.queues.at(0).is_public);
    EXPECT_EQ(known.customer_by_key.at("k2"), "t");
    EXPECT_EQ(known.guaranteed_accelerators.at("t"), 16);
    EXPECT_FALSE(core::is_ok(decode_rules("{}")));
}

TEST(customer_server, reads_jobs)
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
    EXPECT_FALSE(decode_job(R"({"Steps":[{"Count":"x"}]})"));
}

// Guards against a job of unknown outcome that is called not accepted.
TEST(customer_server, answers_an_unknown_outcome_with_504)
{
    gateway::customer_reply reply;
    reply.outcome = gateway::call_outcome::unknown;
    EXPECT_EQ(encode_reply(reply).status, 504);
    reply.outcome = gateway::call_outcome::not_accepted;
    reply.retry_after = 1200ms;
    auto const refused = encode_reply(reply);
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.headers.at(0).second, "2");
}

} // namespace
} // namespace sequoiaroute::adapter
