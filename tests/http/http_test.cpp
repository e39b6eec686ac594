#include "http/civetweb_client.hpp"
#include "http/http_server.hpp"
#include "support/raw_socket.hpp"

#include <atomic>
#include <chrono>
#include <thread>

#include <gtest/gtest.h>

namespace sequoiaroute::http {
namespace {

using namespace std::chrono_literals;
using core::result_code;

class http : public testing::Test
{
protected:
    http()
    {
        http_server_options options;
        options.address = address_;
        options.thread_count = 4;
        options.body_limit = 1000;
        options.receive_limit = 400ms;
        server_ = core::value(http_server::create(options));
        server_->route("POST", "/echo", [](http_request const& request) {
            http_response response;
            response.headers["Seen"] = std::string(request.header("SENT"));
            response.body = request.body + request.query.find("q")->second;
            return response;
        });
        server_->route("GET", "/tree/", [](http_request const& request) {
            return http_response{200, {}, "tree:" + request.path};
        });
        server_->route("GET", "/tree/leaf", [](http_request const&) {
            return http_response{200, {}, "leaf"};
        });
        server_->route("GET", "/throw", [](http_request const&) {
            throw std::runtime_error("fault");
            return http_response{};
        });
        server_->route("GET", "/slow", [this](http_request const&) {
            ++slow_count_;
            std::this_thread::sleep_for(300ms);
            return http_response{200, {}, "slow"};
        });
    }

    core::result<http_response> fetch(std::string path,
                                      core::duration timeout = 2s)
    {
        http_request request;
        request.method = "GET";
        request.path = std::move(path);
        return client_.send(address_, request, timeout);
    }

    core::result<http_response> echo(std::string body)
    {
        http_request request{"POST",
                             "/echo",
                             {{"q", " a&b=/%+"}},
                             {{"Sent", "yes"}},
                             std::move(body)};
        return client_.send(address_, request, 2s);
    }

    std::string address_ = "127.0.0.1:" + std::to_string(support::free_port());
    std::atomic<int> slow_count_{0};
    std::unique_ptr<http_server> server_;
    civetweb_client client_;
};

TEST_F(http, transfers_body_query_and_headers)
{
    auto const outcome = echo(std::string("x\0y", 3));
    ASSERT_TRUE(core::is_ok(outcome));
    auto const& response = core::value(outcome);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, std::string("x\0y", 3) + " a&b=/%+");
    EXPECT_EQ(response.headers.find("seen")->second, "yes");
    EXPECT_EQ(response.headers.find("Connection")->second, "close");
}

TEST_F(http, uses_the_longest_matching_route)
{
    EXPECT_EQ(core::value(fetch("/tree/a/b")).body, "tree:/tree/a/b");
    EXPECT_EQ(core::value(fetch("/tree/leaf")).body, "leaf");
    EXPECT_EQ(core::value(fetch("/tree")).status, 404);
    EXPECT_EQ(core::value(fetch("/none")).status, 404);
}

// Guards against an exception in a handler that terminates the process.
TEST_F(http, answers_500_if_a_handler_throws)
{
    EXPECT_EQ(core::value(fetch("/throw")).status, 500);
    EXPECT_EQ(core::value(fetch("/tree/leaf")).status, 200);
}

TEST_F(http, rejects_a_body_above_the_limit)
{
    EXPECT_EQ(core::value(echo(std::string(1000, 'x'))).status, 200);
    EXPECT_EQ(core::value(echo(std::string(1001, 'x'))).status, 413);
    EXPECT_EQ(core::value(echo(std::string(200'000, 'x'))).status, 413);
}

// Guards against clients that hold a thread by sending a body slowly, for
// which CivetWeb has no limit.
TEST_F(http, rejects_a_body_that_is_sent_too_slowly)
{
    support::raw_socket client(address_);
    client.send("POST /echo?q=1 HTTP/1.1\r\nHost: x\r\n"
                "Content-Length: 900\r\n\r\n");
    auto const started_at = std::chrono::steady_clock::now();
    std::jthread const slow_sender([&](std::stop_token const& stop) {
        while (!stop.stop_requested() && client.send("x"))
            std::this_thread::sleep_for(50ms);
    });
    auto const response = client.receive_all(5s);
    EXPECT_LT(std::chrono::steady_clock::now() - started_at, 2s);
    EXPECT_NE(response.find("408"), std::string::npos) << response;
    EXPECT_NE(response.find("client_too_slow"), std::string::npos) << response;
}

TEST_F(http, rejects_a_head_that_is_not_completed)
{
    support::raw_socket client(address_);
    client.send("POST /echo HTTP/1.1\r\nHost:");
    auto const started_at = std::chrono::steady_clock::now();
    auto const response = client.receive_all(5s);
    EXPECT_LT(std::chrono::steady_clock::now() - started_at, 2s);
    EXPECT_NE(response.find("client_too_slow"), std::string::npos) << response;
}

TEST_F(http, drain_waits_for_the_requests_in_flight)
{
    std::jthread const caller(
        [this] { EXPECT_EQ(core::value(fetch("/slow")).body, "slow"); });
    while (slow_count_ == 0)
        std::this_thread::sleep_for(1ms);
    EXPECT_FALSE(server_->drain(20ms));
    EXPECT_TRUE(server_->drain(2s));
}

// Guards against a simulated service that is meant to lose its response, but
// sends one.
TEST_F(http, status_zero_closes_without_a_response)
{
    server_->route("GET", "/drop", [](auto const&) {
        return http_response{0, {}, "text"};
    });
    EXPECT_EQ(core::code_of(fetch("/drop")), result_code::timed_out);
    server_->route("GET", "/cut", [](auto const&) {
        return http_response{200, {{"Content-Length", "9"}}, "half"};
    });
    EXPECT_EQ(core::code_of(fetch("/cut")), result_code::answer_incomplete);
}

TEST_F(http, reports_an_address_in_use)
{
    http_server_options options;
    options.address = address_;
    EXPECT_EQ(core::code_of(http_server::create(options)),
              result_code::bad_settings);
}

TEST_F(http, times_out_if_the_response_is_late)
{
    auto const started_at = std::chrono::steady_clock::now();
    EXPECT_EQ(core::code_of(fetch("/slow", 100ms)), result_code::timed_out);
    EXPECT_LT(std::chrono::steady_clock::now() - started_at, 250ms);
}

TEST(http_client, reports_a_closed_port_as_unreachable)
{
    civetweb_client client;
    auto const address = "127.0.0.1:" + std::to_string(support::free_port());
    EXPECT_EQ(core::code_of(client.send(address, {"GET", "/", {}, {}, ""}, 1s)),
              result_code::unreachable);
}

// Guards against waiting for the 10 s that CivetWeb allows for connecting, and
// against reporting that a request may have been handled that was never sent.
TEST(http_client, times_out_while_connecting)
{
    support::raw_listener const listener(0);
    // A backlog of 0 lets one connection wait to be accepted; the next attempt
    // is left without an answer.
    support::raw_socket const queued(listener.address());
    civetweb_client client;
    auto const started_at = std::chrono::steady_clock::now();
    EXPECT_EQ(core::code_of(client.send(listener.address(),
                                        {"GET", "/", {}, {}, ""}, 200ms)),
              result_code::unreachable);
    EXPECT_LT(std::chrono::steady_clock::now() - started_at, 500ms);
}

/// A server that accepts one connection, sends a fixed text after receiving
/// something, and closes the connection after a pause.
class fixed_response_server
{
public:
    explicit fixed_response_server(std::string text, core::duration pause = 0ms)
        : thread_([this, text = std::move(text), pause] {
              auto client = listener_.accept();
              client.receive_some();
              client.send(text);
              std::this_thread::sleep_for(pause);
          })
    {
    }

    result_code send_request(core::duration timeout = 2s)
    {
        civetweb_client client;
        return core::code_of(client.send(listener_.address(),
                                         {"GET", "/", {}, {}, ""}, timeout));
    }

private:
    support::raw_listener listener_;
    std::jthread thread_;
};

// Guards against returning a response whose body was cut short as complete.
TEST(http_client, detects_a_truncated_body)
{
    fixed_response_server truncated(
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
    EXPECT_EQ(truncated.send_request(), result_code::answer_incomplete);
    fixed_response_server unbounded("HTTP/1.1 200 OK\r\n\r\nhalf");
    EXPECT_EQ(unbounded.send_request(), result_code::answer_incomplete);
    fixed_response_server whole(
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull");
    EXPECT_EQ(whole.send_request(), result_code::ok);
}

TEST(http_client, reports_a_connection_that_broke_as_timed_out)
{
    fixed_response_server empty("");
    EXPECT_EQ(empty.send_request(), result_code::timed_out);
    fixed_response_server incomplete("HTTP/1.1 200 O");
    EXPECT_EQ(incomplete.send_request(), result_code::timed_out);
}

TEST(http_client, times_out_if_the_body_stalls)
{
    fixed_response_server stalled(
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 600ms);
    auto const started_at = std::chrono::steady_clock::now();
    EXPECT_EQ(stalled.send_request(200ms), result_code::timed_out);
    EXPECT_LT(std::chrono::steady_clock::now() - started_at, 500ms);
}

} // namespace
} // namespace sequoiaroute::http
