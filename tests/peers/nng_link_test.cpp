#include "peers/nng_link_pool.hpp"
#include "peers/nng_server.hpp"
#include "peers/tcp_relay.hpp"

#include "support/free_address.hpp"

#include <atomic>
#include <future>
#include <thread>

#include <gtest/gtest.h>

namespace sequoiaroute::peers {
namespace {

using namespace std::chrono_literals;
using core::result_code;

/// @return link options with periods that are short enough for tests
link_options fast_options()
{
    link_options options;
    options.ping_period = 50ms;
    options.silence_limit = 200ms;
    options.connect_limit = 300ms;
    return options;
}

class nng_link_test : public testing::Test
{
protected:
    std::unique_ptr<nng_server> start_server(std::size_t threads = 4)
    {
        server_options options;
        options.address = address_;
        options.key = "secret";
        options.incarnation = "server-1";
        options.thread_count = threads;
        options.max_pending_requests = 4;
        options.counters = &server_counters_;
        auto outcome =
            nng_server::create(options, [this](envelope const& request) {
                return serve(request);
            });
        EXPECT_TRUE(is_ok(outcome));
        return value(std::move(outcome));
    }

    /// Handles "block" once unblock_ is set, "slow" after 600 ms, and others
    /// immediately. The answer echoes the body.
    answer_envelope serve(envelope const& request)
    {
        ++handled_requests_;
        if (request.kind == "block")
            unblock_.get_future().wait();
        if (request.kind == "slow")
            std::this_thread::sleep_for(600ms);
        answer_envelope answer;
        answer.body = request.body;
        return answer;
    }

    nng_link_pool make_pool(std::string const& key = "secret")
    {
        auto options = fast_options();
        options.counters = &link_counters_;
        return {timers_, {"entry-1", "i1", key}, options};
    }

    std::string address_ = support::free_address();
    std::atomic<int> handled_requests_ = 0;
    std::promise<void> unblock_;
    core::counters link_counters_;
    core::counters server_counters_;
    core::timer_service timers_;
};

TEST_F(nng_link_test, returns_the_answer_to_each_of_many_calls)
{
    auto const server = start_server();
    auto pool = make_pool();
    std::vector<std::future<core::result<answer_envelope>>> calls;
    calls.reserve(4);
    for (int number = 0; number < 4; ++number) {
        calls.push_back(std::async(std::launch::async, [&, number] {
            return pool.link_to(address_)->call("echo", number, 2s);
        }));
    }
    for (int number = 0; number < 4; ++number) {
        auto const outcome = calls[number].get();
        ASSERT_TRUE(is_ok(outcome));
        EXPECT_EQ(value(outcome).body, number);
        EXPECT_EQ(value(outcome).incarnation, "server-1");
    }
}

// Guards against a direction of traffic that is missing from the byte counters,
// from which the control overhead is measured.
TEST_F(nng_link_test, counts_bytes_of_calls_and_answers_at_both_ends)
{
    std::string const text(10'000, 'x');
    {
        auto const server = start_server();
        auto pool = make_pool();
        ASSERT_TRUE(is_ok(pool.link_to(address_)->call("echo", text, 2s)));
    }
    auto const at_link = link_counters_.values();
    auto const at_server = server_counters_.values();
    EXPECT_GT(at_link.at("peers.bytes_sent"), 10'000);
    EXPECT_GT(at_link.at("peers.bytes_received"), 10'000);
    EXPECT_EQ(at_link.at("peers.bytes_sent"),
              at_server.at("peers.bytes_received"));
    EXPECT_EQ(at_link.at("peers.bytes_received"),
              at_server.at("peers.bytes_sent"));
}

// Guards against requests without the system key reaching the handler.
TEST_F(nng_link_test, refuses_wrong_key_without_calling_the_handler)
{
    auto const server = start_server();
    auto pool = make_pool("guess");
    auto const outcome = pool.link_to(address_)->call("echo", 1, 2s);
    ASSERT_TRUE(is_ok(outcome));
    EXPECT_EQ(value(outcome).code, static_cast<int>(result_code::unauthorized));
    EXPECT_EQ(handled_requests_, 0);
}

// Guards against a busy process counting as dead: pings must be answered while
// all threads and the whole queue are in use.
TEST_F(nng_link_test,
       answers_pings_and_refuses_requests_above_the_limit_while_busy)
{
    auto const server = start_server(1);
    auto pool = make_pool();
    auto const link = pool.link_to(address_);
    std::vector<std::future<core::result<answer_envelope>>> calls;
    calls.push_back(std::async(std::launch::async,
                               [&] { return link->call("block", 1, 5s); }));
    while (handled_requests_ == 0)
        std::this_thread::sleep_for(1ms);
    for (int number = 0; number < 3; ++number) {
        calls.push_back(std::async(std::launch::async,
                                   [&] { return link->call("echo", 1, 5s); }));
    }
    std::this_thread::sleep_for(100ms);
    auto const ping = link->call(message_kind::ping, nullptr, 1s);
    auto const refused = link->call("echo", 1, 1s);
    unblock_.set_value();
    ASSERT_TRUE(is_ok(ping));
    EXPECT_EQ(value(ping).code, 0);
    ASSERT_TRUE(is_ok(refused));
    EXPECT_EQ(value(refused).code,
              static_cast<int>(result_code::overloaded_not_run));
    for (auto& call : calls)
        EXPECT_TRUE(is_ok(call.get()));
    EXPECT_EQ(handled_requests_, 4);
}

// Guards against a planned stop that drops the answers of running requests.
TEST_F(nng_link_test, stop_waits_for_requests_in_flight)
{
    auto const server = start_server();
    auto pool = make_pool();
    auto call = std::async(std::launch::async, [&] {
        return pool.link_to(address_)->call("slow", 7, 3s);
    });
    while (handled_requests_ == 0)
        std::this_thread::sleep_for(1ms);
    server->stop();
    auto const outcome = call.get();
    ASSERT_TRUE(is_ok(outcome));
    EXPECT_EQ(value(outcome).body, 7);
}

TEST_F(nng_link_test, reports_unreachable_if_nothing_listens)
{
    auto pool = make_pool();
    auto const outcome = pool.link_to(address_)->call("echo", 1, 2s);
    EXPECT_EQ(code_of(outcome), result_code::unreachable);
}

// Guards against nng resending a request after a reconnect, which would run it
// twice, and against reporting a received request as unreachable (not sent).
TEST_F(nng_link_test, lost_connection_never_resends_a_request)
{
    auto const server = start_server();
    tcp_relay relay(address_);
    auto pool = make_pool();
    auto call = std::async(std::launch::async, [&] {
        return pool.link_to(relay.address())->call("slow", 1, 1500ms);
    });
    while (handled_requests_ == 0)
        std::this_thread::sleep_for(1ms);
    relay.break_open_connections();
    EXPECT_EQ(code_of(call.get()), result_code::timed_out);
    EXPECT_TRUE(is_ok(pool.link_to(relay.address())->call("echo", 1, 2s)));
    std::this_thread::sleep_for(1s);
    EXPECT_EQ(handled_requests_, 2);
}

// Guards against calls that wait for their whole timeout on a connection that
// stopped delivering data without being closed.
TEST_F(nng_link_test, replaces_silent_connection_and_fails_its_calls)
{
    auto const server = start_server();
    tcp_relay relay(address_);
    auto pool = make_pool();
    auto const link = pool.link_to(relay.address());
    ASSERT_TRUE(is_ok(link->call("echo", 1, 2s)));
    auto const started_at = std::chrono::steady_clock::now();
    auto call = std::async(std::launch::async,
                           [&] { return link->call("slow", 1, 20s); });
    while (handled_requests_ < 2)
        std::this_thread::sleep_for(1ms);
    relay.silence_open_connections();
    EXPECT_EQ(code_of(call.get()), result_code::timed_out);
    EXPECT_LT(std::chrono::steady_clock::now() - started_at, 2s);
    EXPECT_EQ(pool.replaced_connections(), 1U);
    auto const outcome = link->call("echo", 2, 2s);
    ASSERT_TRUE(is_ok(outcome));
    EXPECT_EQ(value(outcome).body, 2);
    EXPECT_EQ(handled_requests_, 3);
}

// Guards against replacing a healthy connection because one request is slow.
TEST_F(nng_link_test, slow_request_replaces_no_connection)
{
    auto const server = start_server();
    auto pool = make_pool();
    EXPECT_TRUE(is_ok(pool.link_to(address_)->call("slow", 1, 3s)));
    EXPECT_EQ(pool.replaced_connections(), 0U);
}

// Guards against replacing connections to a process that answers on no
// connection, and against shortening the timeouts of calls to it.
TEST_F(nng_link_test, calls_to_dead_process_wait_for_their_timeout)
{
    tcp_relay relay(address_);
    auto server = start_server();
    auto pool = make_pool();
    auto call = std::async(std::launch::async, [&] {
        return pool.link_to(relay.address())->call("block", 1, 900ms);
    });
    while (handled_requests_ == 0)
        std::this_thread::sleep_for(1ms);
    relay.silence_open_connections();
    relay.refuse_new_connections();
    auto const started_at = std::chrono::steady_clock::now();
    EXPECT_EQ(code_of(call.get()), result_code::timed_out);
    EXPECT_GT(std::chrono::steady_clock::now() - started_at, 700ms);
    EXPECT_EQ(pool.replaced_connections(), 0U);
    unblock_.set_value();
}

} // namespace
} // namespace sequoiaroute::peers
