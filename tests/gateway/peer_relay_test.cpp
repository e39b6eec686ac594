#include "gateway/peer_relay.hpp"

#include "gateway/call_codec.hpp"
#include "support/memory_row_store.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::gateway {
namespace {

using namespace std::chrono_literals;

/// The other entries. Each answers with the reply that the test has set for it.
class scripted_peers final : public event::http_client
{
public:
    void call(event::http_call call, callback done) override
    {
        called.push_back(call.address);
        done(replies[call.address]);
    }

    std::map<std::string, event::http_call_result> replies;
    std::vector<std::string> called;
};

event::http_call_result answer(call_outcome outcome)
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

    /// @return the outcome, or nothing if no peer accepted the call
    std::optional<call_outcome> relay_call()
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

TEST_F(peer_relay_test, tries_the_next_peer_after_a_refusal)
{
    peers.replies["10.0.0.3:7000"] = answer(call_outcome::not_accepted);
    peers.replies["10.0.0.2:7000"] = answer(call_outcome::accepted);
    EXPECT_EQ(relay_call(), call_outcome::accepted);
    EXPECT_EQ(peers.called,
              (std::vector<std::string>{"10.0.0.3:7000", "10.0.0.2:7000"}));
}

TEST_F(peer_relay_test, reports_that_no_peer_accepted_the_call)
{
    peers.replies["10.0.0.3:7000"] = {0, true, ""};
    peers.replies["10.0.0.2:7000"] = answer(call_outcome::unavailable);
    EXPECT_EQ(relay_call(), std::nullopt);
}

// Guards against a job that is reported as not accepted although a peer that
// did not answer may have stored it.
TEST_F(peer_relay_test, reports_an_unanswered_call_as_unknown)
{
    peers.replies["10.0.0.3:7000"] = {0, false, ""};
    peers.replies["10.0.0.2:7000"] = answer(call_outcome::not_accepted);
    EXPECT_EQ(relay_call(), call_outcome::unknown);
}

} // namespace
} // namespace sequoiaroute::gateway
