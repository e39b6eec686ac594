#pragma once

#include "core/clock.hpp"
#include "peers/messages.hpp"
#include "platform/recovering_writer.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace sequoiaroute::decider {

/// The value of the table's row `decider`, which stores the lease.
struct lease_record
{
    std::string holder;      ///< entry id, empty after a graceful release
    std::string incarnation; ///< of the holder's process
    std::string address;     ///< peer address of the holder, IP:PORT
    std::uint64_t term = 0;  ///< fencing token, incremented by every takeover
    std::uint64_t renewals = 0; ///< renewals in this term

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(lease_record, holder, incarnation, address,
                                   term, renewals)
};

/// The relation of this entry to the lease.
enum class lease_state
{
    follower, ///< does not hold the lease
    holding,  ///< holds the lease; it was confirmed within its lifetime
    /// Holds the lease, but the last confirmed write is older than the
    /// lifetime. A takeover needs the table too, so stopping attempts is still
    /// safe, but nothing may be placed.
    suspended,
};

/// Elects one entry as the decider by a lease in the table (docs/design.md,
/// section 3.1). Thread-safe.
class decider_lease
{
public:
    /// How long the row must stay unchanged before another entry may take the
    /// lease, and how long the holder may place work after its last renewal.
    static constexpr core::duration lifetime = std::chrono::seconds(2);
    static constexpr core::duration renewal_period =
        std::chrono::milliseconds(500);
    /// How often the row is read by an entry that does not hold the lease. A
    /// renewal and the expiry are each noticed up to this much late.
    static constexpr core::duration check_period =
        std::chrono::milliseconds(100);
    static constexpr char row_key[] = "decider";

    /// @param rows writes the rows of the table; must outlive this object
    /// @param clock a monotonic clock; must outlive this object
    /// @param self this entry
    decider_lease(platform::recovering_writer& rows, core::clock const& clock,
                  peers::entry_record self);

    /// Reads the row, then renews the lease if this entry holds it, or takes
    /// it over if it has expired. Does nothing if this entry has renewed the
    /// lease within the renewal period. To be called once per check period;
    /// blocks on the table.
    void tick();

    /// Releases the lease, so that another entry can take it without waiting
    /// for it to expire. If the write fails, the lease expires on its own.
    void release();

    /// @return the state at the current time
    lease_state state() const;

    /// @return the term of the lease as last read
    std::uint64_t term() const;

    /// @return the decider's peer address as last read, empty if unknown
    std::string decider_address() const;

    /// @return the version of the lease row, which job writes carry as a
    ///         condition; empty unless the state is holding
    std::optional<platform::row_condition> fence() const;

    /// Reads the row again after a write conflict, because a renewal in the
    /// same term changes the version too.
    /// @return the current condition; stale_term if the lease is lost; the
    ///         error of the read or of its parsing
    core::result<platform::row_condition> refresh_fence();

private:
    /// Renews, takes over or follows the lease according to its row.
    /// @param now when the current tick began
    void handle_row(platform::row const& row, core::time_point now);
    /// Writes the row on condition that it is unchanged, then reads it back.
    /// @param started when the current tick began
    void write(platform::row const& row, lease_record const& next,
               core::time_point started);
    /// Tracks how long the row has been unchanged.
    /// @return whether the lease was released or has expired
    bool is_takeover_due(platform::row const& row, lease_record const& record,
                         core::time_point now);
    bool is_held_by_self(lease_record const& record) const;
    /// @return whether this entry holds the lease and need not renew it yet
    bool is_renewed(core::time_point now) const;
    /// Becomes a follower.
    void step_down();
    /// Becomes or stays the holder; a new holder is suspended until a write
    /// confirms the lease.
    void set_held(std::uint64_t version, lease_record const& record);

    platform::recovering_writer& rows_;
    core::clock const& clock_;
    peers::entry_record const self_;
    std::mutex tick_mutex_; ///< serialises tick() and release()
    /// When the last successful renewal or takeover began; guarded by
    /// tick_mutex_.
    core::time_point renewed_at_;
    mutable std::mutex mutex_; ///< guards the members below
    bool is_held_ = false;
    std::uint64_t version_ = 0;     ///< row version of the held lease
    lease_record record_;           ///< as last read
    core::time_point confirmed_at_; ///< start of the last successful renewal
    /// The row version that expiry is measured for, as a follower.
    std::uint64_t observed_version_ = 0;
    core::time_point version_unchanged_since_;
    core::time_point last_read_at_; ///< as a follower
};

} // namespace sequoiaroute::decider
