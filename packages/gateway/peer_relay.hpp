#pragma once

#include "event/http_client.hpp"
#include "gateway/customer_call.hpp"
#include "gateway/entry_registry.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sequoiaroute::gateway {

/// Passes calls of customers to another entry.
class call_relay
{
public:
    /// Receives the reply; nothing if no entry could take the call, which then
    /// has had no effect.
    using callback = std::function<void(std::optional<customer_reply>)>;

    virtual ~call_relay() = default;

    /// @param call the call
    /// @param done receives the reply once
    virtual void relay(customer_call const& call, callback done) = 0;
};

/// Passes calls to other entries while the store refuses this one; it may
/// serve some machines and refuse others.
class peer_relay final : public call_relay
{
public:
    /// @param entries the other entries
    /// @param client calls them
    peer_relay(entry_registry const& entries, event::http_client& client)
        : entries_(entries), client_(client)
    {
    }

    void relay(customer_call const& call, callback done) override;

private:
    struct attempt
    {
        std::string body;
        std::vector<std::string> peers; ///< those to ask yet
        /// A peer gave no answer, so the call may take effect.
        bool may_be_done = false;
        callback done;
    };

    void try_peer(attempt current);
    void receive(std::string const& peer, attempt current,
                 event::http_reply const& reply);

    entry_registry const& entries_;
    event::http_client& client_;
};

} // namespace sequoiaroute::gateway
