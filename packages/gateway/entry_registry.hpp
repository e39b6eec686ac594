#pragma once

#include "event/timer_service.hpp"
#include "rows/monitored_store.hpp"
#include "rows/table_replica.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sequoiaroute::gateway {

/// Registers this entry in the store and remembers the others, so that they
/// are known while the store refuses this one.
class entry_registry
{
public:
    /// @param store where entries register
    /// @param timers time
    /// @param address IP:PORT on which other processes reach this entry
    entry_registry(rows::monitored_store& store, event::timer_service& timers,
                   std::string address);

    /// Begins to register and to follow the other entries.
    void start();

    /// Asks the store again at once.
    void restart() { entries_.restart(); }

    /// @return the addresses of the other entries, those that registered last
    ///         first; entries that are gone are among them
    std::vector<std::string> others() const;

private:
    void register_self();

    rows::monitored_store& store_;
    event::timer_service& timers_;
    std::string address_;
    rows::table_replica entries_;
    std::int64_t registrations_ = 0;
    std::unique_ptr<event::timer> register_timer_;
};

} // namespace sequoiaroute::gateway
