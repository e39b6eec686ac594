#pragma once

#include "core/sharded_map.hpp"
#include "peers/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace sequoiaroute::targets {

/// Counts the requests that this entry has in flight at each executor, so that
/// a burst between two reports does not overload one of them. Thread-safe.
class slot_tracker
{
public:
    /// One reserved slot of a target, released on destruction. The tracker must
    /// outlive it.
    class reservation
    {
    public:
        reservation(slot_tracker& tracker, std::string target_id)
            : tracker_(&tracker), target_id_(std::move(target_id))
        {
        }
        reservation(reservation&& other) noexcept
            : tracker_(std::exchange(other.tracker_, nullptr)),
              target_id_(std::move(other.target_id_))
        {
        }
        reservation(reservation const&) = delete;
        reservation& operator=(reservation const&) = delete;
        reservation& operator=(reservation&&) = delete;
        ~reservation();

    private:
        slot_tracker* tracker_;
        std::string target_id_;
    };

    /// Estimates the free slots of a target.
    /// @param report the latest report of the target
    /// @return its slots, minus the requests of this entry, minus those that
    ///         other entries had in flight at the time of the report; negative
    ///         if the target is oversubscribed
    int free_slots(peers::target_report const& report);

    /// @return the slots of a target minus the requests of this entry alone,
    ///         ignoring those of other entries
    int own_free_slots(peers::target_report const& report);

    /// Reserves a slot if this entry has fewer requests in flight at the target
    /// than the target has slots.
    /// @return the reservation; nothing if no slot is free
    std::optional<reservation> reserve(peers::target_report const& report);

private:
    /// The requests of this entry at one target.
    struct usage
    {
        std::string incarnation;     ///< of the latest report
        std::uint64_t sequence = 0;  ///< of the latest report
        int in_flight = 0;           ///< now
        int in_flight_at_report = 0; ///< when the latest report was first used
    };

    /// Starts a new report period if the report differs from the last one.
    /// @return the usage of the report's target
    static usage& update_usage(core::sharded_map<usage>::shard& shard,
                               peers::target_report const& report);
    void release(std::string_view target_id);

    core::sharded_map<usage> usage_; ///< by target id
};

} // namespace sequoiaroute::targets
