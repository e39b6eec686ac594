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
    std::optional<call_outcome> relay_call(call_kind kind = call_kind::submit)
    {
        std::optional<customer_reply> received;
        customer_call call;
        call.kind = kind;
        relay.relay(call, [&](auto const& reply) { received = reply; });
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

// Guards against a job that was refused and runs: the peer that did not answer
// still has the key or the queue in its rules, and stores the job later.
TEST_F(peer_relay_test, reports_no_refusal_of_a_call_that_may_be_applied)
{
    peers.replies["10.0.0.3:7000"] = {0, false, ""};
    for (auto const refusal :
         {call_outcome::unauthorized, call_outcome::no_queue,
          call_outcome::bad_request, call_outcome::too_large}) {
        peers.replies["10.0.0.2:7000"] = answer(refusal);
        EXPECT_EQ(relay_call(), call_outcome::unknown);
        EXPECT_EQ(relay_call(call_kind::cancel), call_outcome::unknown);
        EXPECT_EQ(relay_call(call_kind::read), refusal);
    }
}

// Guards against an answer that tells less than is known: another peer has
// carried the call out, or the job does not exist.
TEST_F(peer_relay_test, reports_what_another_peer_has_applied)
{
    peers.replies["10.0.0.3:7000"] = {0, false, ""};
    peers.replies["10.0.0.2:7000"] = answer(call_outcome::accepted);
    EXPECT_EQ(relay_call(), call_outcome::accepted);
    peers.replies["10.0.0.2:7000"] = answer(call_outcome::no_job);
    EXPECT_EQ(relay_call(call_kind::cancel), call_outcome::no_job);
}

// Guards against a refusal that is withheld although no peer can apply the
// call.
TEST_F(peer_relay_test, reports_a_refusal_after_a_refused_connection)
{
    peers.replies["10.0.0.3:7000"] = {0, true, ""};
    peers.replies["10.0.0.2:7000"] = answer(call_outcome::unauthorized);
    EXPECT_EQ(relay_call(), call_outcome::unauthorized);
}

} // namespace
} // namespace sequoiaroute::gateway
