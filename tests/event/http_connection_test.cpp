#include "event/http_server.hpp"
#include "support/free_address.hpp"
#include "support/raw_socket.hpp"

#include <atomic>
#include <thread>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiaroute::event {
namespace {

using namespace std::chrono_literals;
using testing::HasSubstr;
using testing::StartsWith;

constexpr core::duration receive_timeout{5000};

class http_connection_test : public testing::Test
{
public:
    http_connection_test()
        : loop(core::value(event_loop::create())),
          address(support::free_address())
    {
    }

    /// Starts a server that answers with the path and the size of the body.
    void serve(http_limits const& limits = {})
    {
        serve(limits, [](http_request const& request,
                         http_responder const& respond) {
            respond({200,
                     {},
                     request.path + " " + std::to_string(request.body.size()),
                     "text/plain"});
        });
    }

    void serve(http_limits const& limits, http_server::handler handle)
    {
        server = core::value(http_server::create(*loop, pool, address, limits,
                                                 std::move(handle)));
    }

    /// Runs the loop while a client sends bytes and receives all until the
    /// server closes the connection.
    std::string exchange(std::string const& bytes)
    {
        return talk([&](support::raw_socket const& connection) {
            connection.send(bytes);
            return connection.receive_all(receive_timeout);
        });
    }

    /// Runs the loop while a client acts on a connection in its own thread.
    template <class Client>
    std::string talk(Client client)
    {
        std::string received;
        std::atomic<bool> is_done = false;
        std::jthread const thread([&] {
            support::raw_socket const connection(address);
            received = client(connection);
            is_done = true;
        });
        auto const check = loop->every(1ms, [&] {
            if (is_done)
                loop->stop();
        });
        loop->run();
        return received;
    }

    static std::string get(std::string const& path, bool is_last = false)
    {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" +
               (is_last ? "Connection: close\r\n\r\n" : "\r\n");
    }

    std::unique_ptr<event_loop> loop;
    std::string address;
    connection_pool pool{{}};
    std::unique_ptr<http_server> server;
};

// Guards against requests that are lost or overtaken when a client sends them
// ahead.
TEST_F(http_connection_test, answers_requests_sent_ahead_in_their_order)
{
    serve();
    std::string requests;
    for (int number = 0; number < 2000; ++number)
        requests += get("/" + std::to_string(number) + "/");
    auto const received = exchange(requests + get("/last", true));
    std::size_t position = 0;
    for (int number = 0; number < 2000; ++number) {
        position =
            received.find("/" + std::to_string(number) + "/ 0", position);
        ASSERT_NE(position, std::string::npos) << number;
    }
    EXPECT_NE(received.find("/last 0", position), std::string::npos);
}

// Guards against a limit of the unread input that a request within the limits
// meets.
TEST_F(http_connection_test, receives_bodies_up_to_the_limit)
{
    http_limits const limits;
    serve(limits);
    std::string const body(limits.body_bytes, 'x');
    auto const size = std::to_string(body.size());
    EXPECT_THAT(exchange("POST /announced HTTP/1.1\r\nHost: h\r\n"
                         "Connection: close\r\nContent-Length: " +
                         size + "\r\n\r\n" + body),
                HasSubstr("/announced " + size));
    EXPECT_THAT(exchange("POST /chunk HTTP/1.1\r\nHost: h\r\n"
                         "Connection: close\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n400000\r\n" +
                         body + "\r\n0\r\n\r\n"),
                HasSubstr("/chunk " + size));
}

// Guards against a client that loses the response because the connection is
// reset while it sends.
TEST_F(http_connection_test, tells_a_client_that_its_request_is_too_large)
{
    http_limits limits;
    limits.body_bytes = 1000;
    serve(limits);
    std::string const body(200'000, 'x');
    EXPECT_THAT(exchange("POST / HTTP/1.1\r\nHost: h\r\n"
                         "Content-Length: 200000\r\n\r\n" +
                         body),
                StartsWith("HTTP/1.1 413 "));
    EXPECT_THAT(exchange("POST / HTTP/1.1\r\nHost: h\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" +
                         body),
                StartsWith("HTTP/1.1 413 "));
    EXPECT_THAT(exchange("GET / HTTP/1.1\r\nX: " + body),
                StartsWith("HTTP/1.1 431 "));
    EXPECT_THAT(exchange("POST / HTTP/1.1\r\nHost: h\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n5;" +
                         body),
                StartsWith("HTTP/1.1 431 "));
    EXPECT_THAT(exchange("no request\r\n\r\n"), StartsWith("HTTP/1.1 400 "));
}

// Guards against a client that waits for the permission to send its body.
TEST_F(http_connection_test, tells_a_client_to_continue)
{
    serve();
    auto const received = talk([](support::raw_socket const& connection) {
        connection.send("POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                        "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
        auto first = connection.receive_some();
        connection.send("body");
        return first + connection.receive_all(receive_timeout);
    });
    EXPECT_THAT(received, StartsWith("HTTP/1.1 100 Continue\r\n\r\n"));
    EXPECT_THAT(received, HasSubstr("/a 4"));
}

TEST_F(http_connection_test, sends_no_body_in_response_to_head)
{
    serve();
    auto const received =
        exchange("HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    EXPECT_THAT(received, HasSubstr("Content-Length: 4\r\n"));
    EXPECT_TRUE(received.ends_with("\r\n\r\n"));
}

// Guards against a connection that stays open although its client takes the end
// as the end of the response.
TEST_F(http_connection_test, closes_connections_of_http_1_0)
{
    serve();
    EXPECT_THAT(exchange("GET /old HTTP/1.0\r\n\r\n"), HasSubstr("/old 0"));
}

// Guards against a request that is handled after its client was told that it
// has not run.
TEST_F(http_connection_test, never_handles_a_request_refused_for_memory)
{
    connection_pool small_pool{{.connections = 10, .buffered_bytes = 1200}};
    std::vector<std::string> handled;
    std::vector<http_responder> held;
    std::atomic<bool> is_held = false;
    server = core::value(http_server::create(
        *loop, small_pool, address, {},
        [&](http_request const& request, http_responder const& respond) {
            handled.push_back(request.path);
            if (request.path != "/held")
                return respond({});
            held.push_back(respond);
            is_held = true;
        }));
    auto const post = [](std::string const& path) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" +
               "Content-Length: 700\r\n\r\n" + std::string(700, 'x');
    };
    auto const received = talk([&](support::raw_socket const& connection) {
        support::raw_socket const holder(address);
        holder.send(post("/held"));
        while (!is_held)
            std::this_thread::sleep_for(1ms);
        connection.send(post("/refused"));
        auto const refusal = connection.receive_some();
        connection.send(get("/next", true));
        return refusal + connection.receive_all(receive_timeout);
    });
    EXPECT_THAT(received, StartsWith("HTTP/1.1 503 "));
    EXPECT_THAT(received, HasSubstr("Retry-After: 1\r\n"));
    EXPECT_THAT(received, HasSubstr("HTTP/1.1 200 "));
    EXPECT_THAT(handled, testing::ElementsAre("/held", "/next"));
    server.reset();
}

// Guards against a response that is sent on a connection that has gone.
TEST_F(http_connection_test, drops_the_response_to_a_client_that_has_left)
{
    std::vector<http_responder> responders;
    std::atomic<bool> is_received = false;
    serve({}, [&](http_request const&, http_responder const& respond) {
        responders.push_back(respond);
        is_received = true;
    });
    talk([&](support::raw_socket const& connection) {
        connection.send(get("/"));
        while (!is_received)
            std::this_thread::sleep_for(1ms);
        return std::string();
    });
    EXPECT_EQ(server->open_requests(), 1U);
    auto const respond = loop->after(20ms, [&] { responders.at(0)({}); });
    auto const stop = loop->after(60ms, [&] { loop->stop(); });
    loop->run();
    EXPECT_EQ(server->open_requests(), 0U);
    server.reset();
    responders.clear();
}

} // namespace
} // namespace sequoiaroute::event
