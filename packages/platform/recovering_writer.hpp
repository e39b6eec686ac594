#pragma once

#include "core/clock.hpp"
#include "platform/table.hpp"

#include <atomic>

namespace sequoiaroute::platform {

struct recovering_writer_options
{
    /// Identifies this run of the process. Write tokens start with it, so it
    /// must be unique among all writers.
    std::string incarnation;
    /// The time limit of a write, including the recovery of its outcome.
    core::duration time_limit{5'000};
    /// The delay before each check for the outcome of a write.
    core::duration retry_delay{50};
};

/// Writes rows of a table and determines whether a write took effect when the
/// response to it was lost (docs/design.md, section 3.3). Each row is stored in
/// an envelope {value, writers}, where `writers` holds the tokens of the last 8
/// writes of the row. A write whose token is in the row has taken effect. Rows
/// that are accessed through this class must only be written by it.
/// Thread-safe if the table is.
class recovering_writer
{
public:
    /// @param rows the table; must outlive this object
    /// @param options the incarnation and the limits
    recovering_writer(table& rows, recovering_writer_options options);

    /// Reads a row.
    /// @param key the key of the row
    /// @return the row with its value, without the envelope; version 0 and a
    ///         null value if it does not exist; internal_error if it has no
    ///         envelope; or the error of the table
    core::result<row> read(std::string_view key);

    /// Reads all rows whose key starts with a prefix.
    /// @param prefix the prefix of the keys
    /// @return the rows and errors, as for read()
    core::result<std::vector<row>> scan(std::string_view prefix);

    /// Applies all writes atomically if all conditions hold. If the response is
    /// lost, determines the outcome from the rows, and commits again if the
    /// writes did not take effect. A written row without a condition must not
    /// change between the start of this call and the commit. Blocks until
    /// the outcome is known or the time limit has passed.
    /// @param conditions the required versions of rows
    /// @param writes the rows, with values without envelopes
    /// @return ok; conflict or store_unavailable if the writes certainly did
    ///         not take effect; write_unknown if the outcome cannot be
    ///         determined, or not within the time limit
    core::status write(std::span<row_condition const> conditions,
                       std::span<row_write const> writes);

private:
    /// A write in progress, and the data to determine its outcome.
    struct transaction
    {
        std::string token; ///< identifies this write in the rows
        std::vector<row_condition> conditions;
        std::vector<row_write> writes; ///< with envelopes
        /// By index of `writes`: the latest token in the row before this write;
        /// empty if there was none.
        std::vector<std::string> previous_tokens;
        core::time_point deadline;
    };

    /// What a read of a row shows about the outcome of a write.
    enum class write_evidence
    {
        took_effect,
        unchanged,    ///< the row still has the version before the write
        superseded,   ///< another write came first, so this one has failed
        undetermined, ///< the row no longer shows whether the write took effect
        unreadable,   ///< the read failed or was stale; it can be repeated
    };

    /// Adds a write to a transaction, with its envelope and condition.
    core::status add_write(transaction& pending, row_write const& write);
    core::status commit_and_recover(transaction const& pending);
    /// Determines whether the conflict of a repeated commit is final.
    /// @param is_final receives whether it is
    /// @return the error to return if it is
    core::status confirm_conflict(transaction const& pending, bool& is_final);
    /// Reads the written rows until one shows the outcome of the transaction.
    write_evidence inspect_rows(transaction const& pending);
    write_evidence inspect_row(transaction const& pending, std::size_t index);

    table& table_;
    recovering_writer_options options_;
    core::system_clock clock_;
    std::atomic<std::uint64_t> next_sequence_{1};
};

} // namespace sequoiaroute::platform
