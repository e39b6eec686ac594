#include "event/evhttp_client.hpp"
#include "event/http_server.hpp"
#include "support/free_address.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::event {
namespace {

using namespace std::chrono_literals;

class event_http_test : public testing::Test
{
public:
    event_http_test()
        : loop(core::value(event_loop::create())), client(*loop),
          address(support::free_address())
    {
    }

    /// Starts the server.
    void serve(http_server::handler handle)
    {
        server = core::value(
            http_server::create(*loop, pool, address, {}, std::move(handle)));
    }

    /// Runs the loop until the call has its outcome.
    http_call_result call(http_call call)
    {
        http_call_result received;
        client.call(std::move(call), [&](http_call_result result) {
            received = std::move(result);
            loop->stop();
        });
        loop->run();
        return received;
    }

    std::unique_ptr<event_loop> loop;
    evhttp_client client;
    std::string address;
    connection_pool pool{{}};
    std::unique_ptr<http_server> server;
};

TEST_F(event_http_test, transfers_requests_and_responses)
{
    serve([](http_request const& request, http_responder const& respond) {
        respond({201,
                 {},
                 request.method + request.path + request.body,
                 "text/plain"});
    });
    auto const result = call({address, "POST", "/a?b=c", {}, "body", 2s});
    EXPECT_EQ(result.status, 201);
    EXPECT_EQ(result.body, "POST/abody");
    EXPECT_EQ(call({address, "DELETE", "/a", {}, "", 2s}).status, 201);
}

// Guards against a process that ends because of an unexpected error, and
// against a customer who is told that nothing was done.
TEST_F(event_http_test, answers_a_request_whose_handler_throws)
{
    serve([](http_request const&, http_responder const&) {
        throw std::runtime_error("unexpected");
    });
    EXPECT_EQ(call({address, "POST", "/", {}, "", 2s}).status, 502);
    EXPECT_EQ(call({address, "POST", "/", {}, "", 2s}).status, 502);
}

// Guards against a process that blocks while it looks up the name of a host
// that another process has published in place of an address.
TEST_F(event_http_test, sends_nothing_to_an_invalid_address)
{
    for (auto const* invalid : {"10.0.0.1:70000", "host.example:80", ""})
        EXPECT_TRUE(
            call({invalid, "GET", "/", {}, "", 2s}).is_connection_refused)
            << invalid;
}

// Guards against a late response that is taken for that of the next call.
TEST_F(event_http_test, closes_the_connection_of_a_call_that_timed_out)
{
    std::vector<http_responder> held_responders;
    serve([&](http_request const& request, http_responder const& respond) {
        if (request.path == "/slow")
            held_responders.push_back(respond);
        else
            respond({200, {}, "fast", "text/plain"});
    });
    EXPECT_FALSE(call({address, "GET", "/slow", {}, "", 50ms}).has_response());
    ASSERT_EQ(held_responders.size(), 1U);
    held_responders[0]({200, {}, "slow", "text/plain"});
    EXPECT_EQ(call({address, "GET", "/fast", {}, "", 2s}).body, "fast");
}

TEST_F(event_http_test, reports_a_refused_connection)
{
    auto const result = call({address, "GET", "/", {}, "", 2s});
    EXPECT_FALSE(result.has_response());
    EXPECT_TRUE(result.is_connection_refused);
}

// Guards against losing calls that are made while all connections are busy.
TEST_F(event_http_test, queues_calls_beyond_the_connection_limit)
{
    serve([](http_request const&, http_responder const& respond) {
        respond({});
    });
    int success_count = 0;
    for (int number = 0; number < 100; ++number) {
        client.call({address, "GET", "/", {}, "", 5s},
                    [&](http_call_result const& result) {
                        success_count += result.is_success();
                        if (success_count == 100)
                            loop->stop();
                    });
    }
    auto const timeout = loop->after(5s, [&] { loop->stop(); });
    loop->run();
    EXPECT_EQ(success_count, 100);
}

} // namespace
} // namespace sequoiaroute::event
