#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::rows {

/// The version of a row; versions rise with each transaction of the store.
using row_version = std::uint64_t;

/// The version that a row has as long as it does not exist.
constexpr row_version no_row = 0;

/// Names a row.
struct row_key
{
    std::string table;
    std::string part;
    std::string key;

    // clang-tidy 14 misreads the defaulted operator.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(row_key const&) const = default;
};

/// A row as it was at some version of the store.
struct row
{
    row_key key;
    std::string value;
    row_version version = no_row;
    bool is_removed = false;
};

/// Requires a version of a row.
struct condition
{
    row_key key;
    row_version version = no_row;
};

/// A value to write.
struct row_write
{
    row_key key;
    std::string value;
};

/// Changes that the store applies together, or not at all. All rows have the
/// same part.
struct transaction
{
    std::vector<condition> conditions;
    std::vector<row_write> writes;
    std::vector<row_key> removals;
};

enum class commit_outcome
{
    committed,
    conflict, ///< a condition does not hold; nothing was done
    not_done, ///< the store refused or was not reached; nothing was done
    unknown,  ///< no answer; it may have been done, or be done later
};

struct commit_result
{
    commit_outcome outcome = commit_outcome::unknown;
    row_version version = no_row; ///< that of all written rows
    /// The store's steady clock, zero if there was no answer.
    core::duration store_time{0};
    /// For a conflict: the rows of the conditions as they are. A row that does
    /// not exist is left out.
    std::vector<row> current;
};

/// A range of keys within a part of a table.
struct range
{
    std::string table;
    std::string part;
    std::string from;                 ///< first key; empty for the start
    std::optional<std::string> until; ///< the key after the last one
    std::size_t limit = 500;
};

struct page
{
    bool is_ok = false; ///< false if the store gave no usable answer
    std::vector<row> rows;
    bool has_more = false;
    row_version version = no_row; ///< the store's version at the reading
    /// The store's steady clock.
    core::duration store_time{0};
};

struct part_list
{
    bool is_ok = false;
    std::vector<std::string> parts;
};

enum class feed_outcome
{
    current,      ///< `rows` holds all changes up to `version`
    history_lost, ///< changes are missing; the table has to be read again
    unavailable,
};

struct feed_page
{
    feed_outcome outcome = feed_outcome::unavailable;
    std::vector<row> rows;
    row_version version = no_row;
};

/// The platform's transactional store of rows. Calls do not block; each
/// callback runs once, never before its call returned.
class row_store
{
public:
    virtual ~row_store() = default;

    /// @param changes what to write, and under which conditions
    /// @param timeout how long to wait for an answer
    /// @param done receives the result
    virtual void commit(transaction changes, core::duration timeout,
                        std::function<void(commit_result)> done) = 0;

    /// Reads rows as of one moment.
    virtual void read(range rows, std::function<void(page)> done) = 0;

    /// Lists the parts of a table.
    virtual void list_parts(std::string const& table,
                            std::function<void(part_list)> done) = 0;

    /// Waits for changes of a table.
    /// @param table the table
    /// @param after the version up to which changes are known
    /// @param wait how long the store may wait for a change
    /// @param done receives the changes in order
    virtual void follow(std::string const& table, row_version after,
                        core::duration wait,
                        std::function<void(feed_page)> done) = 0;
};

} // namespace sequoiaroute::rows
