#pragma once

#include "stand_ins/control.hpp"

#include <cstdint>
#include <map>

namespace sequoiaroute::stand_ins {

/// A stand-in of the table of the platform that keeps the rows in memory. Each
/// written row gets a version that was never used before; an absent row has
/// version 0. Faults in section /table:
/// - down (answer 503), delay_ms, frozen;
/// - lose_answers: a number of commits that are applied, but whose connection
///   is dropped before the response; lose_answers_prefix limits this to commits
///   that write a key with this prefix;
/// - drop_before: a number of commits whose connection is dropped and that are
///   not applied;
/// - stale_reads: a number of reads that return the previous version of a row.
class table_stand_in
{
public:
    explicit table_stand_in(control& control) : control_(control) {}

    /// Adds routes for GET /table/row and /table/rows and POST /table/commit.
    /// @param server the server to add the routes to
    void serve(http::http_server& server);

private:
    struct stored_row
    {
        std::uint64_t version = 0;
        core::json value;
    };

    http::http_response read(std::string const& key);
    http::http_response scan(std::string const& prefix);
    http::http_response commit(core::json const& transaction);
    /// Writes the rows of a commit whose conditions hold; null deletes a row.
    /// mutex_ must be locked.
    void apply_writes(core::json const& writes);
    /// @return whether to drop the connection after these writes; consumes the
    ///         fault lose_answers then
    bool must_drop_response(core::json const& writes);

    control& control_;
    std::mutex mutex_;
    std::map<std::string, stored_row> rows_;
    std::map<std::string, stored_row> previous_rows_; ///< for stale_reads
    std::uint64_t last_version_ = 0;
};

} // namespace sequoiaroute::stand_ins
