#include "gateway/peer_relay.hpp"

#include "core/event_log.hpp"
#include "gateway/call_codec.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::gateway {

namespace {

constexpr std::string_view entries_table = "sequoiaroute-entries";
constexpr std::string_view entries_part = "entries";
constexpr core::duration register_period{4000};
constexpr core::duration entries_feed_wait{4000};
constexpr core::duration register_timeout{1000};
/// A peer answers within a few milliseconds, or is cut off as well.
constexpr core::duration relay_timeout{600};
constexpr std::size_t peers_tried = 2;

} // namespace

peer_relay::peer_relay(rows::monitored_store& store,
                       event::timer_service& timers, event::http_client& client,
                       std::string address)
    : store_(store), timers_(timers), client_(client),
      address_(std::move(address)), entries_(store, timers,
                                             {std::string(entries_table),
                                              entries_feed_wait,
                                              core::duration(0),
                                              {}},
                                             [](rows::row const&) {
                                                 // The copy itself is what
                                                 // counts.
                                             })
{
}

void peer_relay::start()
{
    entries_.start();
    register_self();
    register_timer_ =
        timers_.every(register_period, [this] { register_self(); });
}

void peer_relay::register_self()
{
    if (!store_.is_reachable())
        return;
    rows::transaction changes;
    changes.writes.push_back(
        {{std::string(entries_table), std::string(entries_part), address_},
         fmt::format("{}", ++registrations_)});
    store_.commit(std::move(changes), register_timeout,
                  [](rows::commit_result const&) {
                      // The next registration makes up for a lost one.
                  });
}

/// @return the other entries, those that registered last first
std::vector<std::string> peer_relay::peers() const
{
    std::vector<rows::row const*> rows;
    for (auto const& [key, row] : entries_.rows()) {
        if (key.key != address_)
            rows.push_back(&row);
    }
    std::sort(rows.begin(), rows.end(),
              [](auto const* left, auto const* right) {
                  return left->version > right->version;
              });
    std::vector<std::string> addresses;
    for (auto const* row : rows) {
        if (addresses.size() < peers_tried)
            addresses.push_back(row->key.key);
    }
    return addresses;
}

void peer_relay::relay(customer_call const& call, callback done)
{
    try_peer({encode(call), peers(), false, std::move(done)});
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
