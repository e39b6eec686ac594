#pragma once

#include "core/codec.hpp"
#include "core/result.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::platform {

/// A row of the platform's table. The table increases the version of a row with
/// each write; a row that does not exist has version 0.
struct row
{
    std::string key;
    std::uint64_t version = 0;
    core::json value;
};

/// A condition of a transaction: the current version of the row must be this
/// one.
struct row_condition
{
    std::string key;
    std::uint64_t version = 0;
};

/// A write of a transaction. Without a value, it deletes the row.
struct row_write
{
    std::string key;
    std::optional<core::json> value;
};

/// The platform's transactional table service.
class table
{
public:
    virtual ~table() = default;

    /// Reads one row.
    /// @param key the key of the row
    /// @return the row, with version 0 if it does not exist; store_unavailable
    ///         or timed_out if there was no valid response
    virtual core::result<row> read(std::string_view key) = 0;

    /// Reads all rows whose key starts with a prefix.
    /// @param prefix the prefix of the keys
    /// @return the rows, ordered by key; errors as for read()
    virtual core::result<std::vector<row>> scan(std::string_view prefix) = 0;

    /// Applies all writes atomically if all conditions hold.
    /// @param conditions the required versions of rows, which need not be among
    ///                   the rows to write
    /// @param writes the rows to write; may be empty
    /// @return ok; conflict if a condition does not hold; bad_request if the
    ///         transaction is invalid; store_unavailable if it was certainly
    ///         not committed; write_unknown if it may have been, now or later
    virtual core::status commit(std::span<row_condition const> conditions,
                                std::span<row_write const> writes) = 0;
};

} // namespace sequoiaroute::platform
