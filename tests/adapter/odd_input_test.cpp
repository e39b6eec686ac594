#include "advice_client.hpp"
#include "customer_server.hpp"
#include "executor_client.hpp"
#include "heartbeat_server.hpp"
#include "operator_table.hpp"
#include "store_client.hpp"

#include "core/codec.hpp"
#include "scripted_client.hpp"

#include <gtest/gtest.h>

// Each test guards against a process that ends, or stops reading, because of
// one odd field or entry that another program has written.

namespace sequoiaroute::adapter {
namespace {

using namespace std::chrono_literals;
using core::json;

std::string deep_text()
{
    return std::string(100'000, '[') + std::string(100'000, ']');
}

/// @return values of which at most one is valid for any field
std::vector<json> odd_values()
{
    return {nullptr,
            true,
            "text",
            -5,
            1e300,
            1e19,
            18'446'744'073'709'551'615U,
            json::array(),
            json::array({1, "a", nullptr}),
            json::object(),
            {{"a", 1}}};
}

/// Replaces each field of an object, in turn, by each odd value.
void for_each_odd_variant(json const& valid,
                          std::function<void(std::string const&)> const& use)
{
    for (auto const& [name, field] : valid.items()) {
        for (auto const& odd : odd_values()) {
            auto variant = valid;
            variant[name] = odd;
            use(variant.dump());
        }
        auto variant = valid;
        variant.erase(name);
        use(variant.dump());
    }
    auto text = valid.dump();
    use(text.substr(0, text.size() / 2));
    text.pop_back();
    use(text + ",\"deep\":" + deep_text() + "}");
}

json valid_heartbeat()
{
    return {{"Service", "s"},
            {"Addr", "10.1.0.9:80"},
            {"Zone", "z"},
            {"State", "ready"},
            {"Capacity", {{"Cpu", 16000}, {"MemMb", 32768}, {"Gpu", 8}}},
            {"Labels", {"a", "r1-3"}},
            {"Seq", 4},
            {"born", 99}};
}

TEST(odd_input, refuses_odd_heartbeats)
{
    auto const is_accepted = [](json const& document) {
        return core::is_ok(decode_heartbeat("i-1", document.dump()));
    };
    EXPECT_TRUE(is_accepted(valid_heartbeat()));
    for_each_odd_variant(valid_heartbeat(), [](std::string const& body) {
        (void)decode_heartbeat("i-1", body);
    });
    for (auto const& odd : {json(1e300), json(1e19), json(-5), json("8")}) {
        for (auto const* name : {"Cpu", "MemMb", "Gpu"}) {
            auto document = valid_heartbeat();
            document["Capacity"][name] = odd;
            EXPECT_FALSE(is_accepted(document)) << name << " " << odd;
        }
    }
    for (auto const* address : {"10.1.0.9:70000", "10.1.0.9:0", "x:80"}) {
        auto document = valid_heartbeat();
        document["Addr"] = address;
        EXPECT_FALSE(is_accepted(document)) << address;
    }
    auto body = valid_heartbeat().dump();
    body.pop_back();
    EXPECT_FALSE(core::is_ok(
        decode_heartbeat("i-1", body + ",\"x\":" + deep_text() + "}")));
    EXPECT_FALSE(core::is_ok(decode_heartbeat("", valid_heartbeat().dump())));
    auto large = valid_heartbeat();
    large["Labels"] = std::vector<std::string>(1000, "label");
    EXPECT_FALSE(is_accepted(large));
}

TEST(odd_input, follows_the_rows_beside_an_odd_one)
{
    scripted_client client;
    store_client store(client, "10.0.0.1:1");
    json const good{{"Table", "t"},    {"part", "p"}, {"Key", "k"},
                    {"Value", "YWI="}, {"Ver", 3},    {"Removed", false}};
    rows::feed_page page;
    for_each_odd_variant(good, [&](std::string const& odd) {
        client.reply = {200, false,
                        R"({"Ver":9,"rows":[)" + odd + "," + good.dump() +
                            "]}"};
        store.poll_feed("t", 1, 1s,
                        [&](auto const& received) { page = received; });
        if (page.outcome == rows::feed_outcome::current) {
            ASSERT_FALSE(page.rows.empty());
            EXPECT_EQ(page.rows.back().value, "ab");
        }
    });
    json const body{{"rows", {good}},
                    {"HasMore", false},
                    {"Ver", 9},
                    {"NowMs", 5},
                    {"parts", {"p"}}};
    for_each_odd_variant(body, [&](std::string const& odd) {
        client.reply = {200, false, odd};
        store.read({"t", "p", "", std::nullopt}, [](auto const&) {});
        store.poll_feed("t", 1, 1s, [](auto const&) {});
        store.list_parts("t", [](auto const&) {});
        store.commit({}, 1s, [](auto const&) {});
        client.reply.status = 412;
        store.commit({}, 1s, [](auto const&) {});
    });
}

// A row whose value is not Base64 keeps its key: if it is the last one of a
// page, the next page is read from there.
TEST(odd_input, keeps_the_key_of_a_row_with_an_odd_value)
{
    scripted_client client;
    store_client store(client, "10.0.0.1:1");
    client.reply = {200, false,
                    R"({"Ver":9,"HasMore":true,"rows":[
                        {"Table":"t","Key":"k","Value":"%","Ver":3}]})"};
    rows::page page;
    store.read({"t", "p", "", std::nullopt},
               [&](auto const& received) { page = received; });
    ASSERT_EQ(page.rows.size(), 1U);
    EXPECT_EQ(page.rows[0].key.key, "k");
}

TEST(odd_input, refuses_odd_lists_of_runs)
{
    scripted_client client;
    executor_client executor(client, "10.0.0.1:1");
    json const lists{{"ClockMs", 5},
                     {"born", 12},
                     {"Running", {{"j.0.0.1", 2, "cp", 41, 7}}},
                     {"Finished", {{58, "j.0.0.2", 1, "done", ""}}}};
    for_each_odd_variant(lists, [&](std::string const& body) {
        client.reply = {200, false, body};
        executor.poll(0, std::nullopt, 0ms, [](auto const&) {});
    });
    for (auto const* list : {"Running", "Finished"}) {
        for (std::size_t index = 0; index < 5; ++index) {
            for (auto const& odd : odd_values()) {
                auto variant = lists;
                variant[list][0][index] = odd;
                client.reply = {200, false, variant.dump()};
                executor.poll(0, std::nullopt, 0ms, [](auto const&) {});
            }
        }
    }
    agents::order_reply reply;
    client.reply = {409, false, R"({"ClockMs":1e300,"Reason":7})"};
    executor.start({}, 0, [&](auto const& received) { reply = received; });
    EXPECT_EQ(reply.outcome, agents::order_outcome::refused);
}

TEST(odd_input, refuses_odd_jobs)
{
    json const step{
        {"Count", 2},    {"Cpu", 500},           {"MemMb", 256},
        {"Gpu", 1},      {"EstimateMs", 900},    {"After", json::array()},
        {"Gang", true},  {"RequiredLabel", "a"}, {"MaxPerServer", 1},
        {"TargetMs", 5}, {"LongRunning", true}};
    json const job{{"Spec", "x"},
                   {"Steps", {step}},
                   {"Repeats", 2},
                   {"FirstMs", 1.7e12},
                   {"IntervalMs", 50}};
    EXPECT_TRUE(decode_job(job.dump()));
    for_each_odd_variant(
        job, [](std::string const& body) { (void)decode_job(body); });
    for_each_odd_variant(step, [](std::string const& text) {
        (void)decode_job(R"({"Steps":[)" + text + "]}");
    });
    for (auto const* name : {"Cpu", "MemMb", "Gpu", "EstimateMs"}) {
        for (auto const& odd : {json(1e300), json(-5)}) {
            auto variant = job;
            variant["Steps"][0][name] = odd;
            EXPECT_FALSE(decode_job(variant.dump())) << name << " " << odd;
        }
    }
}

TEST(odd_input, refuses_odd_rules_and_tickets)
{
    json const route{
        {"Name", "q"},      {"Host", "h"},     {"Service", "s"},
        {"Priority", 1},    {"Stretch", 2.0},  {"TargetRuntimeMs", 300},
        {"MaxAttempts", 2}, {"Public", false}, {"Advice", {{"ValidMs", 300}}}};
    json const tenant{
        {"Name", "t"}, {"ApiKeys", {"k"}}, {"Guaranteed", {{"Gpu", 8}}}};
    json const rules{{"Version", 7},
                     {"Routes", {route}},
                     {"Tenants", {tenant}},
                     {"Limits", {{"MaxBodyBytes", 1000}}}};
    EXPECT_TRUE(core::is_ok(decode_rules(rules.dump())));
    for_each_odd_variant(
        rules, [](std::string const& text) { (void)decode_rules(text); });
    for (auto const* list : {"Routes", "Tenants"}) {
        for_each_odd_variant(rules.at(list).at(0), [&](auto const& odd) {
            auto text = rules.dump();
            auto const valid = rules.at(list).at(0).dump();
            text.replace(text.find(valid), valid.size(), odd);
            (void)decode_rules(text);
        });
    }
    for_each_odd_variant({{"Granted", {{"i-1", "t-1"}}}},
                         [](auto const& body) { (void)decode_tickets(body); });
}

} // namespace
} // namespace sequoiaroute::adapter
