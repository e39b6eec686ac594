#include "gateway/peer_relay.hpp"

#include "core/event_log.hpp"
#include "gateway/call_codec.hpp"

#include <algorithm>

namespace sequoiaroute::gateway {

namespace {

/// @return whether an answer of one peer tells the outcome of a call that
///         another peer may have applied, or may apply later
bool is_conclusive(call_kind kind, call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::accepted:
    case call_outcome::cancelled:
    case call_outcome::no_job:
    case call_outcome::unknown:
        return true;
    case call_outcome::job_state:
    case call_outcome::queue_length:
    case call_outcome::bad_request:
    case call_outcome::no_queue:
    case call_outcome::unauthorized:
    case call_outcome::too_large:
        return kind == call_kind::read;
    case call_outcome::not_accepted:
    case call_outcome::unavailable:
        return false;
    }
    return false;
}

customer_reply make_unknown_reply()
{
    customer_reply unknown;
    unknown.outcome = call_outcome::unknown;
    return unknown;
}

} // namespace

void peer_relay::relay(customer_call const& call, callback done)
{
    auto peers = entries_.other_addresses();
    peers.resize(std::min(peers.size(), max_tried_peers));
    try_next_peer(
        {call.kind, encode(call), std::move(peers), false, std::move(done)});
}

void peer_relay::try_next_peer(relay_attempt current)
{
    if (current.peers.empty()) {
        if (!current.may_have_been_applied)
            return current.done(std::nullopt);
        return current.done(make_unknown_reply());
    }
    auto const peer = current.peers.front();
    current.peers.erase(current.peers.begin());
    auto body = current.body;
    client_.call({peer, "POST", "/relay", {}, std::move(body), relay_timeout},
                 [this, peer, current = std::move(current)](
                     event::http_call_result const& reply) {
                     receive_reply(peer, current, reply);
                 });
}

void peer_relay::receive_reply(std::string const& peer, relay_attempt current,
                               event::http_call_result const& reply)
{
    auto const decoded = decode_reply(reply.body);
    if (!reply.is_success() || !core::is_ok(decoded)) {
        // Unless it refused the connection, the peer may have stored the job.
        // Trying another peer is safe, since submissions are idempotent.
        current.may_have_been_applied =
            current.may_have_been_applied || !reply.is_connection_refused;
        return try_next_peer(std::move(current));
    }
    auto const& answer = core::value(decoded);
    core::log_event(
        "call_relayed",
        {{"peer", peer}, {"outcome", std::string(name(answer.outcome))}});
    if (answer.outcome == call_outcome::unavailable ||
        answer.outcome == call_outcome::not_accepted)
        return try_next_peer(std::move(current));
    // A refusal holds only for this peer. The one that may have applied the
    // call can have other rules, in which the key or the queue still exists.
    if (current.may_have_been_applied &&
        !is_conclusive(current.kind, answer.outcome))
        return current.done(make_unknown_reply());
    current.done(answer);
}

} // namespace sequoiaroute::gateway
