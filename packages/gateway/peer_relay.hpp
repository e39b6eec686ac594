#pragma once

#include "event/http_client.hpp"
#include "gateway/customer_call.hpp"
#include "gateway/entry_registry.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sequoiaroute::gateway {

/// How long a peer may take to answer a relayed call. One that can serve it
/// answers within a few milliseconds; one that does not is probably cut off
/// from the store as well.
constexpr core::duration relay_timeout{600};
constexpr std::size_t max_tried_peers = 2;

/// Relays customers' calls to another entry.
class call_relay
{
public:
    /// Receives the reply, or nothing if no entry accepted the call, which then
    /// had no effect.
    using callback = std::function<void(std::optional<customer_reply>)>;

    virtual ~call_relay() = default;

    /// @param call the call
    /// @param done runs once with the reply
    virtual void relay(customer_call const& call, callback done) = 0;
};

/// Relays calls to other entries while the store refuses or does not answer
/// this one; it may serve some machines and refuse others. Peers are tried one
/// after the other. If one may have applied a submission or cancellation and no
/// other one applies it, the outcome is `unknown`.
class peer_relay final : public call_relay
{
public:
    /// @param entries lists the other entries
    /// @param client sends the calls
    peer_relay(entry_registry const& entries, event::http_client& client)
        : entries_(entries), client_(client)
    {
    }

    void relay(customer_call const& call, callback done) override;

private:
    /// A call that is being relayed.
    struct relay_attempt
    {
        call_kind kind = call_kind::read;
        std::string body;               ///< the encoded call
        std::vector<std::string> peers; ///< peers not tried yet
        /// A peer gave no usable answer and did not refuse the connection. It
        /// may still carry the call out, by its own rules.
        bool may_have_been_applied = false;
        callback done;
    };

    void try_next_peer(relay_attempt current);
    void receive_reply(std::string const& peer, relay_attempt current,
                       event::http_call_result const& reply);

    entry_registry const& entries_;
    event::http_client& client_;
};

} // namespace sequoiaroute::gateway
