#include "callers/job_api.hpp"

#include "callers/job_submission_parser.hpp"
#include "callers/request_fixture.hpp"
#include "support/fake_http_server.hpp"

#include <utility>
#include <vector>

namespace sequoiaroute::callers {
namespace {

using core::result_code;
using testing::_;
using testing::Return;

class mock_job_service : public decider::job_service
{
public:
    MOCK_METHOD(core::result<decider::job_status>, submit,
                (policy::job_submission const&), (override));
    MOCK_METHOD(core::result<decider::job_status>, status,
                (std::string_view, std::string_view), (override));
    MOCK_METHOD(core::result<std::vector<decider::job_status>>, list,
                (std::string_view), (override));
    MOCK_METHOD(core::result<decider::job_status>, cancel,
                (std::string_view, std::string_view), (override));
    MOCK_METHOD(core::result<std::size_t>, cancel_queued, (std::string_view),
                (override));
};

struct job_api_test : testing::Test
{
    job_api_test() { rules.set->customers["press"].customer = "press"; }

    http::http_response send_request(std::string method, std::string path,
                                     std::string body = "")
    {
        return server.call({std::move(method),
                            std::move(path),
                            {},
                            {{"Authorization", "Bearer one-key"}},
                            std::move(body)});
    }

    static decider::job_status make_status()
    {
        decider::job_status status;
        status.record.job_id = "j";
        status.record.placed = {{"worker-1", "", ""}};
        status.text = "running on 1 worker";
        return status;
    }

    customer_keys keys =
        core::value(customer_keys::create_from_text("keys", "press one-key\n"));
    support::fake_http_server server;
    testing::StrictMock<mock_job_service> jobs;
    fixed_rules rules;
    job_api api{server, keys, jobs, rules, 1000};
};

TEST_F(job_api_test, submits_job_with_all_fields)
{
    EXPECT_CALL(jobs, submit(_)).WillOnce([](auto const& job) {
        EXPECT_EQ(job.customer, "press");
        EXPECT_EQ(job.job_id, "j");
        EXPECT_EQ(job.members, 4);
        EXPECT_EQ(job.member.accelerators, 8);
        EXPECT_EQ(job.within, policy::adjacency::rack);
        EXPECT_TRUE(job.is_unrepeatable);
        EXPECT_EQ(job.deadline_ms, 60'000);
        return make_status();
    });
    auto const response = send_request(
        "POST", "/v1/jobs",
        R"({"job_id":"j","kind":"ebook","command":"build","members":4,
                 "accelerators":8,"within":"rack","unrepeatable":true,
                 "deadline_seconds":60})");
    EXPECT_EQ(response.status, 201);
    auto const document = core::json::parse(response.body);
    EXPECT_EQ(document["job_id"], "j");
    EXPECT_EQ(document["status"], "running on 1 worker");
    EXPECT_EQ(document["workers"][0], "worker-1");
    EXPECT_EQ(document["submitted_at"], "1970-01-01T00:00:00+00:00");
}

// Guards against storing malformed jobs, and against error messages that do not
// name the invalid field.
TEST_F(job_api_test, names_invalid_field)
{
    std::vector<std::pair<std::string, std::string>> const cases{
        {R"("members":0)", "members"},
        {R"("members":4097)", "members"},
        {R"("members":"4")", "members"},
        {R"("members":1.5)", "members"},
        {R"("accelerators":-1)", "accelerators"},
        {R"("cores":18446744073709551615)", "cores"},
        {R"("deadline_seconds":-1)", "deadline_seconds"},
        {R"("job_id":"a/b")", "job_id"},
        {R"("job_id":"")", "job_id"},
        {R"("kind":"")", "kind"},
        {R"("command":7)", "command"},
        {R"("within":"planet")", "within"},
        {R"("urgent":1)", "urgent"},
        {R"("memory":1)", "memory"}};
    for (auto const& [text, field] : cases) {
        // The JSON parser uses the last value of a duplicate key.
        auto const body = R"({"kind":"k","command":"c",)" + text + "}";
        auto const outcome = job_submission_parser::parse("press", body);
        ASSERT_FALSE(core::is_ok(outcome)) << text;
        EXPECT_EQ(core::code_of(outcome), result_code::bad_request);
        EXPECT_NE(core::failure(outcome).message.find(field + ":"),
                  std::string::npos)
            << core::failure(outcome).message;
        EXPECT_EQ(send_request("POST", "/v1/jobs", body).status, 400);
    }
    for (auto const* body : {"", "[]", "{", R"({"kind":"k"})"})
        EXPECT_EQ(send_request("POST", "/v1/jobs", body).status, 400) << body;
    EXPECT_EQ(send_request("POST", "/v1/jobs", std::string(1001, ' ')).status,
              413);
    EXPECT_EQ(send_request("GET", "/v1/jobs/a$b").status, 400);
}

// Guards against accepting jobs while the entry drains or has no confirmed
// rules.
TEST_F(job_api_test, refuses_jobs_when_not_serving)
{
    auto const body = R"({"kind":"k","command":"c"})";
    rules.state = support::make_error(result_code::rules_unconfirmed);
    EXPECT_EQ(send_request("POST", "/v1/jobs", body).status, 503);
    rules.state = core::success();
    api.begin_drain();
    auto const response = send_request("POST", "/v1/jobs", body);
    EXPECT_EQ(response.headers.at("Result-Code"), "205");
    EXPECT_TRUE(response.headers.contains("Retry-After"));
}

// Guards against operations on the jobs of a customer other than the one that
// the key belongs to.
TEST_F(job_api_test, operates_only_on_jobs_of_customer)
{
    EXPECT_CALL(jobs, status("press", "j")).WillOnce(Return(make_status()));
    EXPECT_CALL(jobs, list("press"))
        .WillOnce(Return(std::vector{make_status()}));
    EXPECT_CALL(jobs, cancel("press", "j")).WillOnce(Return(make_status()));
    EXPECT_CALL(jobs, cancel_queued("press")).WillOnce(Return(std::size_t{3}));
    EXPECT_EQ(send_request("GET", "/v1/jobs/j").status, 200);
    EXPECT_EQ(core::json::parse(send_request("GET", "/v1/jobs").body).size(),
              1U);
    EXPECT_EQ(send_request("DELETE", "/v1/jobs/j").status, 200);
    EXPECT_EQ(
        core::json::parse(send_request("DELETE", "/v1/jobs").body)["cancelled"],
        3);
    EXPECT_EQ(server.call({"GET", "/v1/jobs", {}, {}, ""}).status, 401);
}

} // namespace
} // namespace sequoiaroute::callers
