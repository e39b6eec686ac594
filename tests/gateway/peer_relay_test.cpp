#include "gateway/peer_relay.hpp"

#include "gateway/call_codec.hpp"
#include "support/memory_row_store.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::gateway {
namespace {

using namespace std::chrono_literals;

/// Other entries, each of which answers as the test has set.
class scripted_peers final : public event::http_client
{
public:
    void call(event::http_call call, callback done) override
    {
        asked.push_back(call.address);
        done(replies[call.address]);
    }

    std::map<std::string, event::http_reply> replies;
    std::vector<std::string> asked;
};

event::http_reply answer(call_outcome outcome)
{
    customer_reply reply;
    reply.outcome = outcome;
    return {200, false, encode(reply)};
}

class peer_relay_test : public testing::Test
{
public:
    peer_relay_test()
        : store(timers), monitored(store, timers),
          entries(monitored, timers, "10.0.0.1:7000"), relay(entries, peers)
    {
        register_peer("10.0.0.2:7000");
        register_peer("10.0.0.3:7000");
        entries.start();
        timers.advance(100ms);
    }

    void register_peer(std::string const& address)
    {
        store.put({"sequoiaroute-entries", "entries", address}, "1");
    }

    /// @return the outcome; nothing if no peer could take the call
    std::optional<call_outcome> pass_on()
    {
        std::optional<customer_reply> received;
        relay.relay({}, [&](auto const& reply) { received = reply; });
        if (!received)
            return std::nullopt;
        return received->outcome;
    }

    support::manual_timers timers;
    support::memory_row_store store;
    rows::monitored_store monitored;
    scripted_peers peers;
    entry_registry entries;
    peer_relay relay;
};

TEST_F(peer_relay_test, asks_the_next_peer_after_a_refusal)
{
    peers.replies["10.0.0.3:7000"] = answer(call_outcome::not_accepted);
    peers.replies["10.0.0.2:7000"] = answer(call_outcome::accepted);
    EXPECT_EQ(pass_on(), call_outcome::accepted);
    EXPECT_EQ(peers.asked,
              (std::vector<std::string>{"10.0.0.3:7000", "10.0.0.2:7000"}));
}

TEST_F(peer_relay_test, says_that_nobody_took_the_call)
{
    peers.replies["10.0.0.3:7000"] = {0, true, ""};
    peers.replies["10.0.0.2:7000"] = answer(call_outcome::unavailable);
    EXPECT_EQ(pass_on(), std::nullopt);
}

// Guards against a job that is called not accepted although a silent peer may
// have stored it.
TEST_F(peer_relay_test, keeps_an_open_outcome_open)
{
    peers.replies["10.0.0.3:7000"] = {0, false, ""};
    peers.replies["10.0.0.2:7000"] = answer(call_outcome::not_accepted);
    EXPECT_EQ(pass_on(), call_outcome::unknown);
}

} // namespace
} // namespace sequoiaroute::gateway
