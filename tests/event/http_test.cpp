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

    void serve(http_server::handler handle)
    {
        server = core::value(
            http_server::create(*loop, address, {}, std::move(handle)));
    }

    http_reply call(http_call call)
    {
        http_reply received;
        client.call(std::move(call), [&](http_reply reply) {
            received = std::move(reply);
            loop->stop();
        });
        loop->run();
        return received;
    }

    std::unique_ptr<event_loop> loop;
    evhttp_client client;
    std::string address;
    std::unique_ptr<http_server> server;
};

TEST_F(event_http_test, carries_requests_and_answers)
{
    serve([](http_request const& request, http_responder const& respond) {
        respond({201,
                 {},
                 request.method + request.path + request.body,
                 "text/plain"});
    });
    auto const reply = call({address, "POST", "/a?b=c", {}, "body", 2s});
    EXPECT_EQ(reply.status, 201);
    EXPECT_EQ(reply.body, "POST/abody");
    EXPECT_EQ(call({address, "DELETE", "/a", {}, "", 2s}).status, 201);
}

// Guards against a late answer that is taken for that of the next call.
TEST_F(event_http_test, drops_the_connection_of_a_call_that_timed_out)
{
    std::vector<http_responder> held;
    serve([&](http_request const& request, http_responder const& respond) {
        if (request.path == "/slow")
            held.push_back(respond);
        else
            respond({200, {}, "fast", "text/plain"});
    });
    EXPECT_FALSE(call({address, "GET", "/slow", {}, "", 50ms}).has_answer());
    ASSERT_EQ(held.size(), 1U);
    held[0]({200, {}, "slow", "text/plain"});
    EXPECT_EQ(call({address, "GET", "/fast", {}, "", 2s}).body, "fast");
}

TEST_F(event_http_test, says_when_the_connection_was_refused)
{
    auto const reply = call({address, "GET", "/", {}, "", 2s});
    EXPECT_FALSE(reply.has_answer());
    EXPECT_TRUE(reply.is_refused);
}

// Guards against calls that are lost while all connections are busy.
TEST_F(event_http_test, queues_calls_beyond_its_connections)
{
    serve([](http_request const&, http_responder const& respond) {
        respond({});
    });
    int answered = 0;
    for (int number = 0; number < 100; ++number) {
        client.call({address, "GET", "/", {}, "", 5s},
                    [&](http_reply const& reply) {
                        answered += reply.is_success();
                        if (answered == 100)
                            loop->stop();
                    });
    }
    auto const limit = loop->after(5s, [&] { loop->stop(); });
    loop->run();
    EXPECT_EQ(answered, 100);
}

} // namespace
} // namespace sequoiaroute::event
