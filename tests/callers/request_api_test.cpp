#include "callers/request_api.hpp"

#include "callers/request_fixture.hpp"
#include "support/fake_http_server.hpp"

#include <tuple>
#include <vector>

namespace sequoiaroute::callers {
namespace {

struct request_api_test : request_fixture
{
    static http::http_request make_post_request()
    {
        return {"POST",
                "/v1/requests",
                {},
                {{"Authorization", "Bearer one-key"},
                 {"Request-Id", "r"},
                 {"Service", "proofs"}},
                "chapbook"};
    }

    static std::string result_code_of(http::http_response const& response)
    {
        auto const found = response.headers.find("Result-Code");
        return found == response.headers.end() ? "" : found->second;
    }

    customer_keys keys =
        core::value(customer_keys::create_from_text("keys", "press one-key\n"));
    support::fake_http_server server;
    request_api api{server, keys, service, 100};
};

TEST_F(request_api_test, answers_with_digest_and_id)
{
    auto const response = server.call(make_post_request());
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "proof");
    EXPECT_EQ(response.headers.at("Request-Id"), "r");
    EXPECT_EQ(response.headers.at("Answer-Digest"), core::digest("proof"));
    http::http_request get{
        "GET", "/v1/requests/r", {}, {{"Authorization", "Bearer one-key"}}, ""};
    EXPECT_EQ(server.call(get).body, "proof");
    get.path = "/v1/requests/none";
    EXPECT_EQ(server.call(get).status, 404);
}

// Guards against running malformed requests, against errors without a result
// code, and against counting refused requests as concurrent ones.
TEST_F(request_api_test, refuses_malformed_input)
{
    rules.set->customers["press"].limits.concurrent_requests = 1;
    std::vector<std::tuple<std::string, std::string, std::string>> const cases{
        {"Authorization", "Bearer other", "102"},
        {"Authorization", "one-key", "102"},
        {"Authorization", "Bearer ", "102"},
        {"Request-Id", "a/b", "100"},
        {"Request-Id", "..", "100"},
        {"Service", "", "100"},
        {"Unrepeatable", "yes", "100"},
        {"Time-Limit-Ms", "0", "100"},
        {"Time-Limit-Ms", "-5", "100"},
        {"Time-Limit-Ms", "5s", "100"},
        {"Time-Limit-Ms", "99999999999999999999", "100"}};
    for (auto const& [header, text, code] : cases) {
        auto request = make_post_request();
        request.headers[header] = text;
        EXPECT_EQ(result_code_of(server.call(request)), code) << header << text;
    }
    auto large = make_post_request();
    large.body = std::string(101, 'x');
    EXPECT_EQ(result_code_of(server.call(large)), "101");
    EXPECT_EQ(call_counts["dispatch"], 0);
    EXPECT_EQ(server.call(make_post_request()).status, 200);
}

// Guards against refusals without a Retry-After header.
TEST_F(request_api_test, sends_retry_after_with_refusal)
{
    service.begin_drain();
    auto const response = server.call(make_post_request());
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(result_code_of(response), "205");
    EXPECT_EQ(response.headers.at("Retry-After"), "2");
}

// Guards against keys in error messages, and against accepting the valid part
// of an invalid key file.
TEST(customer_keys, errors_name_line_but_not_key)
{
    for (auto const* text : {"press secret extra\n", "press\n",
                             "press secret\nlab secret\n", "a/b secret\n"}) {
        auto const keys = customer_keys::create_from_text("keys", text);
        ASSERT_FALSE(core::is_ok(keys)) << text;
        EXPECT_EQ(core::code_of(keys), core::result_code::bad_settings);
        auto const& message = core::failure(keys).message;
        EXPECT_NE(message.find("keys:"), std::string::npos);
        EXPECT_EQ(message.find("secret"), std::string::npos);
    }
}

} // namespace
} // namespace sequoiaroute::callers
