#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::rows {

/// The version of a row. Versions increase with each transaction of the store.
using row_version = std::uint64_t;

/// The version of a row that does not exist.
constexpr row_version no_row = 0;

/// The largest value of a row.
constexpr std::size_t max_value_bytes = 65'536;

/// Identifies a row.
struct row_key
{
    std::string table;
    std::string part; ///< the partition of the table
    std::string key;

    // clang-tidy 14 misreads the defaulted operator.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(row_key const&) const = default;
};

/// A row as of one version.
struct row
{
    row_key key;
    std::string value;
    row_version version = no_row;
    bool is_removed = false; ///< whether this version removes the row
};

/// Requires that a row has a certain version; no_row requires that it does not
/// exist.
struct condition
{
    row_key key;
    row_version version = no_row;
};

/// A row to write, with its new value.
struct row_write
{
    row_key key;
    std::string value;
};

/// Changes that the store applies atomically if all conditions hold. All rows
/// must be in the same part.
struct transaction
{
    std::vector<condition> conditions;
    std::vector<row_write> writes;
    std::vector<row_key> removals;
};

enum class commit_outcome
{
    committed,
    conflict, ///< a condition does not hold; nothing was changed
    not_done, ///< refused, or the store is unreachable; nothing was changed
    unknown,  ///< no response; may have been applied, or may be later
};

struct commit_result
{
    commit_outcome outcome = commit_outcome::unknown;
    row_version version = no_row; ///< the version of all written rows
    /// The time of the store's steady clock; zero if there was no response.
    core::duration store_time{0};
    /// For a conflict: the current rows of the conditions, without those that
    /// do not exist.
    std::vector<row> current;
};

/// A range of keys within a part of a table.
struct range
{
    std::string table;
    std::string part;
    std::string from;                 ///< first key; empty for the first row
    std::optional<std::string> until; ///< end of the range, exclusive
    std::size_t limit = 500;          ///< the most rows to return
};

/// The result of a read.
struct page
{
    bool is_ok = false; ///< false if there was no valid response
    std::vector<row> rows;
    bool has_more = false; ///< whether the range has more rows after these
    row_version version = no_row; ///< the version of the store when read
    /// The time of the store's steady clock.
    core::duration store_time{0};
};

/// The parts of a table.
struct part_list
{
    bool is_ok = false; ///< false if there was no valid response
    std::vector<std::string> parts;
};

enum class feed_outcome
{
    current,      ///< `rows` holds all changes up to `version`
    history_lost, ///< changes are missing; the table has to be read again
    unavailable,  ///< no valid response
};

/// Changes of a table, in order.
struct feed_page
{
    feed_outcome outcome = feed_outcome::unavailable;
    std::vector<row> rows;
    row_version version = no_row;
    /// The time of the store's steady clock; zero if it is not known.
    core::duration store_time{0};
};

/// The platform's transactional store of rows. Calls do not block; each
/// callback runs exactly once, after its call has returned.
class row_store
{
public:
    virtual ~row_store() = default;

    /// Applies a transaction.
    /// @param changes the changes and their conditions
    /// @param timeout how long to wait for a response before the outcome is
    ///                reported as unknown
    /// @param done receives the result
    virtual void commit(transaction changes, core::duration timeout,
                        std::function<void(commit_result)> done) = 0;

    /// Reads the rows of a range as of one version of the store.
    virtual void read(range rows, std::function<void(page)> done) = 0;

    /// Lists the parts of a table.
    virtual void list_parts(std::string const& table,
                            std::function<void(part_list)> done) = 0;

    /// Polls the change feed of a table (long poll).
    /// @param table the name of the table
    /// @param after the version after which changes are requested
    /// @param wait how long the store may hold the call if there is no change
    /// @param done receives the changes in order; none if the wait has passed
    virtual void poll_feed(std::string const& table, row_version after,
                           core::duration wait,
                           std::function<void(feed_page)> done) = 0;
};

} // namespace sequoiaroute::rows
