#include "targets/entry_directory.hpp"

#include <algorithm>

namespace sequoiaroute::targets {

namespace {

/// Consecutive scans without an entry's row after which the entry counts as
/// stopped. A single scan may return stale data.
constexpr int missed_scan_limit = 2;

} // namespace

entry_directory::entry_directory(std::string own_id, core::duration live_limit,
                                 core::duration expiry_limit)
    : own_id_(std::move(own_id)), live_limit_(live_limit),
      expiry_limit_(expiry_limit)
{
}

entry_directory::known_entry*
entry_directory::find_or_add(peers::entry_record const& record,
                             core::time_point now)
{
    if (record.entry_id == own_id_)
        return nullptr;
    auto& entry = entries_[record.entry_id];
    if (entry.record.incarnation != record.incarnation) {
        entry = {};
        entry.first_seen_at = now;
        entry.last_active_at = now;
    }
    entry.record = record;
    return &entry;
}

entry_directory::known_entry const*
entry_directory::find_by_address(std::string_view address) const
{
    auto const found =
        std::find_if(entries_.begin(), entries_.end(), [&](auto const& pair) {
            return pair.second.record.peer_address == address;
        });
    return found == entries_.end() ? nullptr : &found->second;
}

void entry_directory::record_message(peers::entry_record const& record,
                                     core::time_point now)
{
    std::lock_guard const lock(mutex_);
    if (auto* const entry = find_or_add(record, now))
        entry->last_active_at = std::max(entry->last_active_at, now);
}

void entry_directory::record_answer(peers::entry_record const& record,
                                    core::time_point requested_at)
{
    std::lock_guard const lock(mutex_);
    auto* const entry = find_or_add(record, requested_at);
    if (entry == nullptr)
        return;
    entry->last_active_at = std::max(entry->last_active_at, requested_at);
    entry->last_synced_at =
        std::max(entry->last_synced_at.value_or(requested_at), requested_at);
}

void entry_directory::record_row(entry_row const& row, core::time_point now)
{
    auto const known = entries_.find(row.record.entry_id);
    // An unchanged row is no sign of activity, and an older version comes from
    // a stale scan.
    if (known != entries_.end() && known->second.row_version >= row.version) {
        known->second.missed_scans = 0;
        return;
    }
    if (auto* const entry = find_or_add(row.record, now)) {
        entry->last_active_at = std::max(entry->last_active_at, now);
        entry->row_version = row.version;
        entry->missed_scans = 0;
    }
}

void entry_directory::record_scan(std::vector<entry_row> const& rows,
                                  core::time_point now)
{
    std::lock_guard const lock(mutex_);
    for (auto& [id, entry] : entries_) {
        if (entry.row_version != 0)
            ++entry.missed_scans;
    }
    for (auto const& row : rows)
        record_row(row, now);
    std::erase_if(entries_, [&](auto const& pair) {
        return has_stopped(pair.second, now);
    });
}

bool entry_directory::has_stopped(known_entry const& entry,
                                  core::time_point now) const
{
    return entry.missed_scans >= missed_scan_limit &&
           now - entry.last_active_at > live_limit_;
}

void entry_directory::remove_expired(core::time_point now)
{
    std::lock_guard const lock(mutex_);
    std::erase_if(entries_, [&](auto const& pair) {
        return now - pair.second.last_active_at > expiry_limit_;
    });
}

std::vector<peers::entry_record>
entry_directory::live_entries(core::time_point now) const
{
    std::lock_guard const lock(mutex_);
    std::vector<peers::entry_record> records;
    for (auto const& [id, entry] : entries_) {
        if (now - entry.last_active_at <= live_limit_)
            records.push_back(entry.record);
    }
    return records;
}

std::vector<std::string> entry_directory::addresses() const
{
    std::lock_guard const lock(mutex_);
    std::vector<std::string> addresses;
    addresses.reserve(entries_.size());
    for (auto const& [id, entry] : entries_)
        addresses.push_back(entry.record.peer_address);
    return addresses;
}

bool entry_directory::has_synced(std::string_view address) const
{
    std::lock_guard const lock(mutex_);
    auto const* const entry = find_by_address(address);
    return entry != nullptr && entry->last_synced_at.has_value();
}

core::time_point entry_directory::sync_cursor(std::string_view address) const
{
    std::lock_guard const lock(mutex_);
    auto const* const entry = find_by_address(address);
    return entry == nullptr ? core::time_point::min() : entry->sync_cursor;
}

void entry_directory::advance_sync_cursor(std::string_view address,
                                          core::time_point until)
{
    std::lock_guard const lock(mutex_);
    for (auto& [id, entry] : entries_) {
        if (entry.record.peer_address == address)
            entry.sync_cursor = std::max(entry.sync_cursor, until);
    }
}

std::optional<core::time_point>
entry_directory::sync_watermark(core::time_point now) const
{
    std::lock_guard const lock(mutex_);
    auto until = now;
    for (auto const& [id, entry] : entries_) {
        if (!entry.last_synced_at)
            return std::nullopt;
        until = std::min(until, *entry.last_synced_at);
    }
    return until;
}

core::time_point entry_directory::latest_entry_start() const
{
    std::lock_guard const lock(mutex_);
    auto newest = core::time_point::min();
    for (auto const& [id, entry] : entries_)
        newest = std::max(newest, entry.first_seen_at);
    return newest;
}

core::time_point
entry_directory::last_activity_of_silent(core::time_point silent_since) const
{
    std::lock_guard const lock(mutex_);
    auto last = core::time_point::min();
    for (auto const& [id, entry] : entries_) {
        if (!entry.last_synced_at || *entry.last_synced_at < silent_since)
            last = std::max(last, entry.last_active_at);
    }
    return last;
}

} // namespace sequoiaroute::targets
