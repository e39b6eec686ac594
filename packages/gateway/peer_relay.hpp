#pragma once

#include "event/http_client.hpp"
#include "event/timer_service.hpp"
#include "gateway/customer_call.hpp"
#include "rows/monitored_store.hpp"
#include "rows/table_replica.hpp"

#include <functional>
#include <memory>
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

/// Passes calls to other entries while the store refuses this one. The store
/// may serve some machines and refuse others; the entries register there, and
/// each remembers the others.
class peer_relay final : public call_relay
{
public:
    /// @param store where entries register
    /// @param timers time
    /// @param client calls other entries
    /// @param address IP:PORT on which other entries reach this one
    peer_relay(rows::monitored_store& store, event::timer_service& timers,
               event::http_client& client, std::string address);

    /// Begins to register and to follow the other entries.
    void start();

    /// Asks the store again at once.
    void restart() { entries_.restart(); }

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

    void register_self();
    std::vector<std::string> peers() const;
    void try_peer(attempt current);
    void receive(std::string const& peer, attempt current,
                 event::http_reply const& reply);

    rows::monitored_store& store_;
    event::timer_service& timers_;
    event::http_client& client_;
    std::string address_;
    rows::table_replica entries_;
    std::int64_t registrations_ = 0;
    std::unique_ptr<event::timer> register_timer_;
};

} // namespace sequoiaroute::gateway
