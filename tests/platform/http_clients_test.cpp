#include "platform/http_executor_client.hpp"
#include "platform/http_object_store.hpp"
#include "platform/http_table.hpp"
#include "platform/http_task_runtime.hpp"

#include <chrono>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiaroute::platform {
namespace {

using namespace std::chrono_literals;
using core::result_code;
using http::http_request;
using http::http_response;
using testing::_;
using testing::DoAll;
using testing::Return;
using testing::SaveArg;

class mock_client : public http::http_client
{
public:
    MOCK_METHOD(core::result<http_response>, send,
                (std::string_view address, http_request const& request,
                 core::duration time_limit),
                (override));
};

class http_clients_test : public testing::Test
{
protected:
    /// Expects one request and responds to it.
    void respond_with(int status, std::string body = "{}")
    {
        EXPECT_CALL(client_, send(_, _, _))
            .WillOnce(
                DoAll(SaveArg<1>(&sent_request_),
                      Return(http_response{status, {}, std::move(body)})));
    }

    /// Expects one request and returns an error of the connection.
    void fail_with(result_code code)
    {
        EXPECT_CALL(client_, send(_, _, _))
            .WillOnce(Return(core::error{code, "fault"}));
    }

    core::json sent_json() { return core::json::parse(sent_request_.body); }

    mock_client client_;
    http_request sent_request_;
    http_table table_{client_, {"127.0.0.1:1", 1s}};
    http_object_store objects_{client_, {"127.0.0.1:1", 1s}};
    http_task_runtime runtime_{client_, {"127.0.0.1:1", 1s}};
    http_executor_client executor_{client_, "127.0.0.1:1"};
};

TEST_F(http_clients_test, table_reads_rows)
{
    respond_with(200, R"({"key":"a","version":3,"value":{"x":1}})");
    auto const received_row = core::value(table_.read("a"));
    EXPECT_EQ(sent_request_.path, "/table/row");
    EXPECT_EQ(sent_request_.query.at("key"), "a");
    EXPECT_EQ(received_row.version, 3);
    EXPECT_EQ(received_row.value.at("x"), 1);
    respond_with(200, R"({"rows":[{"key":"a","version":3,"value":null}]})");
    EXPECT_EQ(core::value(table_.scan("a")).size(), 1);
    respond_with(200, "[]");
    EXPECT_EQ(core::code_of(table_.read("a")), result_code::store_unavailable);
    respond_with(200, "cut");
    EXPECT_EQ(core::code_of(table_.scan("a")), result_code::store_unavailable);
}

// Guards against reporting a commit whose response was lost as not committed.
TEST_F(http_clients_test, table_distinguishes_refused_and_unknown_commits)
{
    std::array const conditions{row_condition{"a", 1}};
    std::array const writes{row_write{"a", 2}, row_write{"b", std::nullopt}};
    auto const commit = [&] {
        return core::code_of(table_.commit(conditions, writes));
    };
    respond_with(200);
    EXPECT_EQ(commit(), result_code::ok);
    EXPECT_EQ(sent_json(),
              core::json::parse(R"({"conditions":[{"key":"a","version":1}],
                  "writes":[{"key":"a","value":2},
                            {"key":"b","value":null}]})"));
    respond_with(409);
    EXPECT_EQ(commit(), result_code::conflict);
    respond_with(503);
    EXPECT_EQ(commit(), result_code::store_unavailable);
    respond_with(500);
    EXPECT_EQ(commit(), result_code::write_unknown);
    fail_with(result_code::unreachable);
    EXPECT_EQ(commit(), result_code::store_unavailable);
    fail_with(result_code::timed_out);
    EXPECT_EQ(commit(), result_code::write_unknown);
    fail_with(result_code::answer_incomplete);
    EXPECT_EQ(commit(), result_code::write_unknown);
}

TEST_F(http_clients_test, object_store_maps_outcomes)
{
    respond_with(200);
    EXPECT_TRUE(core::is_ok(objects_.put("results/a", "bytes")));
    EXPECT_EQ(sent_request_.method, "PUT");
    EXPECT_EQ(sent_request_.path, "/objects/results/a");
    EXPECT_EQ(sent_request_.body, "bytes");
    respond_with(503);
    EXPECT_EQ(core::code_of(objects_.put("a", "b")),
              result_code::store_unavailable);
    fail_with(result_code::timed_out);
    EXPECT_EQ(core::code_of(objects_.put("a", "b")),
              result_code::write_unknown);
    respond_with(200, "bytes");
    EXPECT_EQ(core::value(objects_.fetch("a")), "bytes");
    respond_with(404);
    EXPECT_EQ(core::code_of(objects_.fetch("a")), result_code::not_found);
    fail_with(result_code::answer_incomplete);
    EXPECT_EQ(core::code_of(objects_.fetch("a")),
              result_code::store_unavailable);
}

TEST_F(http_clients_test, task_runtime_sends_commands)
{
    respond_with(200);
    EXPECT_TRUE(core::is_ok(runtime_.start(
        {"j.1.0", "press", {1, 2, 3}, "run_ms=5", "in", "", 5s})));
    EXPECT_EQ(sent_request_.path, "/tasks");
    EXPECT_EQ(sent_json().at("lease_ms"), 5000);
    EXPECT_EQ(sent_json().at("resources").at("accelerators"), 3);
    respond_with(200);
    EXPECT_TRUE(core::is_ok(runtime_.renew("j.1.0", 7s)));
    EXPECT_EQ(sent_request_.path, "/tasks/j.1.0/renew");
    respond_with(404);
    EXPECT_EQ(core::code_of(runtime_.renew("x", 7s)), result_code::not_found);
    respond_with(404);
    EXPECT_TRUE(core::is_ok(runtime_.stop("x")));
    respond_with(200,
                 R"({"tasks":[{"task_id":"x","state":"finished","output":"o",
        "checkpoint":"","detail":""}]})");
    auto const reports = core::value(runtime_.tasks());
    ASSERT_EQ(reports.size(), 1);
    EXPECT_EQ(reports.front().state, task_state::finished);
}

// Guards against a "not run" error for a request that the executor may have
// run.
TEST_F(http_clients_test, executor_reports_not_run_only_if_certain)
{
    auto const execute = [&] {
        return executor_.execute({"a1", "r1", "press", "body", 3s});
    };
    respond_with(200, "answer");
    EXPECT_EQ(core::value(execute()), "answer");
    EXPECT_EQ(sent_request_.header("Attempt-Id"), "a1");
    EXPECT_EQ(sent_request_.header("Request-Id"), "r1");
    EXPECT_EQ(sent_request_.header("Customer"), "press");
    EXPECT_EQ(sent_request_.header("Time-Limit-Ms"), "3000");
    respond_with(503);
    EXPECT_EQ(core::code_of(execute()), result_code::refused_not_run);
    fail_with(result_code::unreachable);
    EXPECT_EQ(core::code_of(execute()), result_code::refused_not_run);
    respond_with(500);
    EXPECT_EQ(core::code_of(execute()), result_code::execution_failed);
    respond_with(404);
    EXPECT_EQ(core::code_of(execute()), result_code::outcome_unknown);
    fail_with(result_code::timed_out);
    EXPECT_EQ(core::code_of(execute()), result_code::outcome_unknown);
    fail_with(result_code::answer_incomplete);
    EXPECT_EQ(core::code_of(execute()), result_code::answer_incomplete);
}

} // namespace
} // namespace sequoiaroute::platform
