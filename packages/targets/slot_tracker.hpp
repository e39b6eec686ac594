#pragma once

#include "core/sharded_map.hpp"
#include "peers/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace sequoiaroute::targets {

/// Counts the requests that this entry has in flight at each target, so that
/// a burst between two reports does not overload one executor.
class slot_tracker
{
public:
    /// Holds one slot of a target until it is destroyed.
    class reservation
    {
    public:
        reservation(slot_tracker& owner, std::string target_id)
            : owner_(&owner), target_id_(std::move(target_id))
        {
        }
        reservation(reservation&& other) noexcept
            : owner_(std::exchange(other.owner_, nullptr)),
              target_id_(std::move(other.target_id_))
        {
        }
        reservation(reservation const&) = delete;
        reservation& operator=(reservation const&) = delete;
        reservation& operator=(reservation&&) = delete;
        ~reservation();

    private:
        slot_tracker* owner_;
        std::string target_id_;
    };

    /// Estimates the free slots of a target.
    /// @param report the latest report of the target
    /// @return its slots less the requests of this entry and less those that
    ///         other entries had there at the time of the report
    int free_slots(peers::target_report const& report);

    /// @return the slots less the requests of this entry alone
    int own_free_slots(peers::target_report const& report);

    /// Takes a slot if this entry has fewer requests there than slots exist.
    std::optional<reservation> reserve(peers::target_report const& report);

private:
    struct account
    {
        std::string incarnation;
        std::uint64_t sequence = 0;
        int in_flight = 0;
        int in_flight_at_report = 0;
    };

    static account& observe(core::sharded_map<account>::shard& shard,
                            peers::target_report const& report);
    void release(std::string_view target_id);

    core::sharded_map<account> accounts_;
};

} // namespace sequoiaroute::targets
