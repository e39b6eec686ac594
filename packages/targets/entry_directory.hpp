#pragma once

#include "core/clock.hpp"
#include "peers/messages.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::targets {

/// A row entries/ID of the table, as read by a scan.
struct entry_row
{
    peers::entry_record record;
    std::uint64_t version = 0; ///< of the row; changes with each renewal
};

/// The other entries known to this entry, from their messages and from their
/// rows in the table. Tracks until when contacts with targets have been
/// exchanged with each of them by syncs. Thread-safe.
class entry_directory
{
public:
    /// @param own_id the id of this entry, which is never listed
    /// @param live_limit an entry without activity for longer is not live
    /// @param expiry_limit an entry without activity for longer is removed;
    ///        must exceed the time for which agents rely on a silent entry
    entry_directory(std::string own_id, core::duration live_limit,
                    core::duration expiry_limit);

    /// Records a message from an entry as activity.
    /// @param now when it was received
    void record_message(peers::entry_record const& record,
                        core::time_point now);

    /// Records that an entry answered a sync, and so has sent all its contacts
    /// with targets from before the sync.
    /// @param requested_at when the sync was sent, on the clock of this entry
    void record_answer(peers::entry_record const& record,
                       core::time_point requested_at);

    /// Updates the entries from a scan of all rows entries/ID. A changed row
    /// counts as activity. Removes entries that are no longer live and whose
    /// row was absent from consecutive scans.
    /// @param rows the complete result of the scan
    void record_scan(std::vector<entry_row> const& rows, core::time_point now);

    /// Removes entries without activity for longer than the expiry limit.
    void remove_expired(core::time_point now);

    /// @return the entries with activity within the live limit
    std::vector<peers::entry_record> live_entries(core::time_point now) const;

    /// @return the peer addresses of all known entries, live or not
    std::vector<std::string> addresses() const;

    /// @return whether the entry at a peer address has answered a sync
    bool has_synced(std::string_view address) const;

    /// @return the time until which the entry at a peer address has received
    ///         the reports of this entry; time_point::min() if it is unknown
    core::time_point sync_cursor(std::string_view address) const;

    /// Records that the entry at a peer address has received all reports that
    /// reached this entry before a time.
    void advance_sync_cursor(std::string_view address, core::time_point until);

    /// @param now returned if no other entry is known
    /// @return the time until which the contacts of every known entry have been
    ///         received; nothing if an entry has never answered a sync
    std::optional<core::time_point> sync_watermark(core::time_point now) const;

    /// @return when the newest incarnation of any entry was first seen;
    ///         time_point::min() if no other entry is known
    core::time_point latest_entry_start() const;

    /// Bounds the time until which an entry that answers no sync may have been
    /// in contact with the table or with this entry.
    /// @param silent_since entries that answered a sync sent at or after this
    ///        time are left out
    /// @return the latest activity of the remaining entries; time_point::min()
    ///         if there are none
    core::time_point
    last_activity_of_silent(core::time_point silent_since) const;

private:
    struct known_entry
    {
        peers::entry_record record;
        core::time_point first_seen_at;
        core::time_point last_active_at; ///< a message or a change of its row
        /// When the latest sync that it answered was sent.
        std::optional<core::time_point> last_synced_at;
        /// It has received all reports that reached this entry before then.
        core::time_point sync_cursor = core::time_point::min();
        std::uint64_t row_version = 0; ///< 0 if its row was never seen
        int missed_scans = 0;          ///< consecutive scans without its row
    };

    /// Updates the record of an entry. A new incarnation starts without any
    /// history.
    /// @return the entry; null for this entry itself
    known_entry* find_or_add(peers::entry_record const& record,
                             core::time_point now);
    known_entry const* find_by_address(std::string_view address) const;
    void record_row(entry_row const& row, core::time_point now);
    /// @return whether the row of an entry is gone and the entry is not live
    bool has_stopped(known_entry const& entry, core::time_point now) const;

    std::string own_id_;
    core::duration live_limit_;
    core::duration expiry_limit_;
    mutable std::mutex mutex_;
    std::map<std::string, known_entry> entries_;
};

} // namespace sequoiaroute::targets
