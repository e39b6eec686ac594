#include "callers/api_client.hpp"

#include "support/manual_clock.hpp"
#include "support/request_mocks.hpp"

#include <gtest/gtest.h>

#include <deque>

namespace sequoiaroute::callers {
namespace {

using core::result_code;
using response = core::result<http::http_response>;

/// Returns scripted responses, then timeouts, and records the requests.
class scripted_client final : public http::http_client
{
public:
    response send(std::string_view address, http::http_request const& request,
                  core::duration) override
    {
        sent_requests.push_back(std::string(address) + " " + request.method);
        sent_ids.push_back(
            request.header("Request-Id").empty()
                ? request.path.substr(request.path.rfind('/') + 1)
                : std::string(request.header("Request-Id")));
        if (responses.empty())
            return support::make_error(result_code::timed_out);
        auto next_response = responses.front();
        responses.pop_front();
        return next_response;
    }

    std::deque<response> responses;
    std::vector<std::string> sent_requests;
    std::vector<std::string> sent_ids;
};

struct api_client_test : testing::Test
{
    static response answer(std::string const& body)
    {
        return http::http_response{
            200, {{"Answer-Digest", core::digest(body)}}, body};
    }

    static response refusal(result_code code)
    {
        return http::error_response(support::make_error(code));
    }

    static response connection_lost()
    {
        return support::make_error(result_code::timed_out);
    }

    result_code send(bool is_unrepeatable = false)
    {
        api_request request{"", "proofs", "chapbook", is_unrepeatable,
                            core::duration(5000)};
        return core::code_of(client.send(request));
    }

    scripted_client http;
    support::manual_clock clock;
    api_client client{http,
                      clock,
                      [this](core::duration pause) { clock.advance(pause); },
                      {{"one", "two"}, "key", core::duration(1000)}};
};

// Guards against running a repeatable request again although another entry has
// its answer.
TEST_F(api_client_test, queries_other_entry_after_lost_connection)
{
    http.responses = {connection_lost(), refusal(result_code::still_running),
                      answer("proof")};
    EXPECT_EQ(send(), result_code::ok);
    EXPECT_EQ(http.sent_requests,
              (std::vector<std::string>{"one POST", "two GET", "two GET"}));
    EXPECT_FALSE(http.sent_ids[0].empty());
    EXPECT_EQ(http.sent_ids[0], http.sent_ids[1]);
}

// Guards against losing a request that the first entry never received.
TEST_F(api_client_test, resends_request_unknown_to_entries)
{
    http.responses = {connection_lost(), refusal(result_code::unknown_request),
                      answer("proof")};
    EXPECT_EQ(send(), result_code::ok);
    EXPECT_EQ(http.sent_requests.back(), "two POST");
    EXPECT_EQ(http.sent_ids[0], http.sent_ids[2]);
}

// Guards against a second run of an unrepeatable request, which the entries
// would allow under another id.
TEST_F(api_client_test, resends_unrepeatable_under_same_id)
{
    http.responses = {connection_lost(), answer("counted")};
    EXPECT_EQ(send(true), result_code::ok);
    EXPECT_EQ(http.sent_requests,
              (std::vector<std::string>{"one POST", "two POST"}));
    EXPECT_EQ(http.sent_ids[0], http.sent_ids[1]);
}

// Guards against returning the "not run" error of a second entry although the
// first one may have run the request.
TEST_F(api_client_test, reports_unknown_outcome_after_lost_connection)
{
    http.responses = {connection_lost()};
    for (int count = 0; count < 100; ++count)
        http.responses.push_back(
            refusal(result_code::not_run_store_unavailable));
    EXPECT_EQ(send(true), result_code::outcome_unknown);
}

// Guards against returning a truncated or corrupted answer.
TEST_F(api_client_test, verifies_digest_of_answer)
{
    http.responses = {http::http_response{200, {{"Answer-Digest", "0"}}, "pro"},
                      answer("proof")};
    EXPECT_EQ(send(), result_code::ok);
    EXPECT_EQ(http.sent_requests.back(), "one GET");
}

// Guards against failing as soon as one entry is down or draining.
TEST_F(api_client_test, tries_every_entry)
{
    http.responses = {support::make_error(result_code::unreachable),
                      answer("proof")};
    EXPECT_EQ(send(), result_code::ok);
    http.responses = {refusal(result_code::stopping_not_run),
                      support::make_error(result_code::unreachable)};
    EXPECT_EQ(send(), result_code::unreachable);
    http.responses = {refusal(result_code::overloaded_not_run)};
    EXPECT_EQ(send(), result_code::overloaded_not_run);
}

// Guards against submitting a job twice under two ids, and against a "not run"
// error when an entry that was tried before may have accepted the job.
TEST_F(api_client_test, resubmits_job_under_same_id)
{
    http.responses = {connection_lost(), http::http_response{201, {}, "{}"}};
    EXPECT_TRUE(core::is_ok(client.submit_job({{"kind", "ebook"}})));
    http.responses = {connection_lost(),
                      refusal(result_code::stopping_not_run)};
    EXPECT_EQ(core::code_of(client.submit_job({{"kind", "ebook"}})),
              result_code::outcome_unknown);
}

} // namespace
} // namespace sequoiaroute::callers
