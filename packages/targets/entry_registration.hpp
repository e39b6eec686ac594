#pragma once

#include "core/clock.hpp"
#include "peers/messages.hpp"
#include "platform/table.hpp"
#include "targets/entry_directory.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiaroute::targets {

/// The fields of the decider's lease row that other entries use.
struct decider_row
{
    std::string holder;     ///< id of the entry that holds the lease
    std::uint64_t term = 0; ///< 0 if there is no lease row
};

/// Maintains the row entries/ID of this entry in the table, by which the other
/// entries find it, and reads the rows of the others. Not synchronized.
class entry_registration
{
public:
    /// @param table the platform's table
    /// @param clock the time source
    /// @param self the record of this entry
    /// @param stale_limit rows that stay unchanged for longer are deleted
    entry_registration(platform::table& table, core::clock const& clock,
                       peers::entry_record self, core::duration stale_limit);

    /// Creates or renews the row of this entry.
    /// @return ok; conflict if a later incarnation of this entry has written
    ///         the row; store_unavailable if the row changed during the
    ///         renewal; otherwise the error of the table
    core::status renew();

    /// Reads all rows entries/ID, and deletes those that are no longer renewed.
    /// @return the remaining rows that are readable, or the error of the table
    core::result<std::vector<entry_row>> scan();

    /// @return the decider's lease row, with term 0 if there is none; or the
    ///         error of the table, internal_error if the row is malformed
    core::result<decider_row> read_decider();

    /// Deletes the row of this entry, unless a later incarnation owns it.
    /// Called when this entry stops; a failure leaves the row to expire.
    void remove();

private:
    /// When a version of a row was first seen, on the clock of this entry.
    struct observed_row
    {
        std::uint64_t version = 0;
        core::time_point changed_at;
    };

    /// Writes the row of this entry if it still has the given version.
    core::status write(std::uint64_t version);
    /// @return whether the row has been unchanged for longer than the limit
    bool is_stale(platform::row const& row);
    void remove_row(platform::row const& row);

    platform::table& table_;
    core::clock const& clock_;
    peers::entry_record self_;
    core::duration stale_limit_;
    std::string key_;          ///< of the row of this entry
    bool has_written_ = false; ///< true if this incarnation wrote its row
    std::uint64_t renewals_ = 0;
    std::map<std::string, observed_row> observed_rows_; ///< by key
};

} // namespace sequoiaroute::targets
