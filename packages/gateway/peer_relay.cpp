#include "gateway/peer_relay.hpp"

#include "core/event_log.hpp"
#include "gateway/call_codec.hpp"

#include <algorithm>

namespace sequoiaroute::gateway {

namespace {

/// A peer answers within a few milliseconds, or is cut off as well.
constexpr core::duration relay_timeout{600};
constexpr std::size_t peers_tried = 2;

} // namespace

void peer_relay::relay(customer_call const& call, callback done)
{
    auto peers = entries_.others();
    peers.resize(std::min(peers.size(), peers_tried));
    try_peer({encode(call), std::move(peers), false, std::move(done)});
}

void peer_relay::try_peer(attempt current)
{
    if (current.peers.empty()) {
        if (!current.may_be_done)
            return current.done(std::nullopt);
        customer_reply unknown;
        unknown.outcome = call_outcome::unknown;
        return current.done(unknown);
    }
    auto const peer = current.peers.front();
    current.peers.erase(current.peers.begin());
    auto body = current.body;
    client_.call(
        {peer, "POST", "/relay", {}, std::move(body), relay_timeout},
        [this, peer, current = std::move(current)](
            event::http_reply const& reply) { receive(peer, current, reply); });
}

void peer_relay::receive(std::string const& peer, attempt current,
                         event::http_reply const& reply)
{
    auto const decoded = decode_reply(reply.body);
    if (!reply.is_success() || !core::is_ok(decoded)) {
        // Without an answer the peer may have stored the job. Another peer may
        // still be asked, since the same job is stored once.
        current.may_be_done = current.may_be_done || !reply.is_refused;
        return try_peer(std::move(current));
    }
    auto const& answer = core::value(decoded);
    core::log_event(
        "call_relayed",
        {{"peer", peer}, {"outcome", std::string(name(answer.outcome))}});
    if (answer.outcome == call_outcome::unavailable ||
        answer.outcome == call_outcome::not_accepted)
        return try_peer(std::move(current));
    current.done(answer);
}

} // namespace sequoiaroute::gateway
