#pragma once

#include "event/timer_service.hpp"
#include "rows/monitored_store.hpp"
#include "rows/table_replica.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sequoiaroute::gateway {

/// Registers this entry in the store, and caches the addresses of all entries
/// so that they can be called while this one cannot reach the store.
class entry_registry
{
public:
    /// @param store where entries register
    /// @param timers clock and timers
    /// @param address IP:PORT on which other processes reach this entry
    entry_registry(rows::monitored_store& store, event::timer_service& timers,
                   std::string address);

    /// Starts to register periodically and to follow the other entries.
    void start();

    /// Requests the entries from the store again without waiting for a call in
    /// progress. Used when the store becomes reachable again.
    void restart() { entries_.restart(); }

    /// @return the addresses (IP:PORT) of the other entries, the most recently
    ///         registered first; includes entries that no longer exist, since
    ///         registrations do not expire
    std::vector<std::string> other_addresses() const;

private:
    void register_self();

    rows::monitored_store& store_;
    event::timer_service& timers_;
    std::string address_;
    rows::table_replica entries_;
    /// Written as the value of the row, so that each registration changes it.
    std::int64_t registration_count_ = 0;
    std::unique_ptr<event::timer> register_timer_;
};

} // namespace sequoiaroute::gateway
