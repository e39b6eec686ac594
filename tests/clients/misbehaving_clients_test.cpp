#include "clients/client_crowd.hpp"
#include "clients/tested_process.hpp"

#include <ostream>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace sequoiaroute::clients {
namespace {

// The smallest machines of the users: entries have 160 MB and 4,100
// descriptors, agents 128 MB and 4,096.
constexpr std::size_t entry_memory_bytes = 160'000'000;
constexpr std::size_t agent_memory_bytes = 128'000'000;
constexpr std::size_t entry_descriptors = 4100;
constexpr std::size_t agent_descriptors = 4096;
/// A lower limit of descriptors, which a small crowd exceeds.
constexpr std::size_t small_descriptor_limit = 256;
constexpr std::size_t descriptor_crowd_size = 400;

constexpr std::size_t sender_count = 40;
constexpr std::size_t sender_bytes = 16'000'000;
constexpr std::size_t body_sender_count = 64;
constexpr std::size_t body_sender_bytes = 8'000'000;
/// The largest body that all ports accept.
constexpr std::size_t body_limit = 4'194'304;
constexpr std::size_t unfinished_body_bytes = 4'100'000;

/// A port of a program.
struct door
{
    program server;
    std::string port;
};

std::ostream& operator<<(std::ostream& output, door const& printed)
{
    return output << (printed.server == program::entry ? "entry_" : "agent_")
                  << printed.port;
}

class misbehaving_clients : public testing::TestWithParam<door>
{
protected:
    /// Lets a crowd act on the port under test, then checks the process while
    /// the connections of the crowd are open.
    void act_and_check(crowd_plan plan, std::size_t descriptor_limit = 0)
    {
        tested_process process(GetParam().server, descriptor_limit);
        plan.address = process.address(GetParam().port);
        client_crowd crowd(std::move(plan));
        crowd.run();
        process.wait_until_idle();
        bool const is_entry = GetParam().server == program::entry;
        ASSERT_TRUE(process.is_running());
        EXPECT_LE(process.open_descriptors(),
                  is_entry ? entry_descriptors : agent_descriptors);
        for (auto const& port : process.ports())
            EXPECT_TRUE(process.answers_ordinary_request(port)) << port;
        ASSERT_TRUE(process.is_running());
        EXPECT_LE(process.peak_memory(),
                  is_entry ? entry_memory_bytes : agent_memory_bytes);
        EXPECT_EQ(process.stop(), 0);
    }

    static std::string get(std::string const& path)
    {
        return fmt::format("GET {} HTTP/1.1\r\nHost: crowd.example\r\n\r\n",
                           path);
    }

    static std::string post(std::string const& header)
    {
        return fmt::format("POST /sequoiaroute/Instances.Heartbeat/i-1 HTTP/1.1"
                           "\r\nHost: crowd.example\r\n{}\r\n\r\n",
                           header);
    }
};

// Guards against a process that reads requests without end while their answers
// cannot be written.
TEST_P(misbehaving_clients, send_requests_ahead_to_no_route)
{
    act_and_check({{}, sender_count, {}, get("/no-such-path"), sender_bytes});
}

TEST_P(misbehaving_clients, send_requests_ahead_to_the_readiness_path)
{
    act_and_check(
        {{}, sender_count, {}, get("/sequoiaroute/readyz"), sender_bytes});
}

// Guards against a process that receives a body of which it knows that it is
// too large.
TEST_P(misbehaving_clients, announce_a_body_over_the_limit)
{
    act_and_check({{},
                   body_sender_count,
                   post("Content-Length: 9000000000"),
                   std::string(1000, 'x'),
                   body_sender_bytes});
}

TEST_P(misbehaving_clients, send_a_body_without_end)
{
    act_and_check({{},
                   body_sender_count,
                   post("Transfer-Encoding: chunked"),
                   "3e8\r\n" + std::string(1000, 'x') + "\r\n",
                   body_sender_bytes});
}

// Guards against the sum of bodies that are each within the limit.
TEST_P(misbehaving_clients, stop_within_a_body)
{
    act_and_check({{},
                   body_sender_count,
                   post(fmt::format("Content-Length: {}", body_limit)),
                   std::string(1000, 'x'),
                   unfinished_body_bytes});
}

// Guards against a line of the chunked encoding that is collected until its
// end.
TEST_P(misbehaving_clients, send_a_chunk_header_without_end)
{
    act_and_check({{},
                   body_sender_count,
                   post("Transfer-Encoding: chunked") + "5;",
                   std::string(1000, 'x'),
                   body_sender_bytes});
}

TEST_P(misbehaving_clients, send_headers_without_end)
{
    act_and_check({{},
                   body_sender_count,
                   "GET / HTTP/1.1\r\n",
                   "X-Header: " + std::string(1000, 'x') + "\r\n",
                   body_sender_bytes});
}

// Guards against a document whose values take far more memory than its text.
TEST_P(misbehaving_clients, send_a_body_of_many_values)
{
    std::string body = R"({"Steps":[{})";
    while (body.size() < unfinished_body_bytes)
        body += ",{}";
    body += "]}";
    auto const message =
        post(fmt::format("Content-Length: {}", body.size())) + body;
    act_and_check({{}, 4, message, {}, message.size()});
}

// Guards against a process that is out of descriptors and accepts nobody.
TEST_P(misbehaving_clients, keep_idle_connections_open)
{
    act_and_check({{}, descriptor_crowd_size, {}, {}, 0},
                  small_descriptor_limit);
}

TEST_P(misbehaving_clients, stop_within_the_headers)
{
    std::string const head = "GET / HTTP/1.1\r\nHost:";
    act_and_check({{}, descriptor_crowd_size, head, {}, head.size()},
                  small_descriptor_limit);
}

INSTANTIATE_TEST_SUITE_P(, misbehaving_clients,
                         testing::Values(door{program::entry, "customers"},
                                         door{program::entry, "readiness"},
                                         door{program::entry, "entries"},
                                         door{program::entry, "metrics"},
                                         door{program::agent, "heartbeats"},
                                         door{program::agent, "notices"},
                                         door{program::agent, "metrics"}),
                         testing::PrintToStringParamName());

} // namespace
} // namespace sequoiaroute::clients
