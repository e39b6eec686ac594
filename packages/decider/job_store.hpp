#pragma once

#include "decider/decider_lease.hpp"
#include "platform/recovering_writer.hpp"
#include "policy/job_record.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::decider {

/// A job and the row that it was parsed from.
struct stored_job
{
    policy::job_record record;
    platform::row row;
};

/// A conditional write of the decider to a job's row.
struct job_write
{
    platform::row base;      ///< the row that the change is based on
    policy::job_record next; ///< the new value
    /// The answer of an earlier try was lost, so it may have taken effect.
    bool may_have_written = false;
};

/// @return the key of a job's row
std::string job_key(std::string_view job_id);

/// Parses a job's row.
/// @return the job, or the error of the codec
core::result<stored_job> parse_job(platform::row row);

/// Reads job rows, and writes them on condition that the lease row is
/// unchanged, which fences off a former decider. Thread-safe.
class job_store
{
public:
    /// @param rows reads and writes the table
    /// @param lease the lease whose row version is a condition of every write
    job_store(platform::recovering_writer& rows, decider_lease& lease);

    /// @return the job; unknown_job if its row is absent; an error of the table
    ///         or of parsing
    core::result<stored_job> read(std::string_view job_id);

    /// Reads all job rows.
    /// @return the jobs that are not final, or an error of the table; a row
    ///         that cannot be parsed is logged and skipped
    core::result<std::vector<stored_job>> scan_open_jobs();

    /// Commits a write. After write_unknown the caller must commit it again
    /// until the outcome is known. If an earlier try took effect, the
    /// repetition is a conflict, and the row has the new value.
    /// @param write the write; may_have_written is set if an answer is lost
    /// @return ok; conflict if the job's row has changed; stale_term if the
    ///         lease is lost; store_unavailable if nothing was written;
    ///         write_unknown if the write may have taken effect
    core::status commit(job_write& write);

private:
    /// Sends the write once, and sets may_have_written if the answer is lost.
    core::status commit_once(job_write& write,
                             platform::row_condition const& fence);
    /// Finds out which row caused a conflict, and refreshes the fence.
    /// @return ok if only the lease was renewed, so that the write may be sent
    ///         again; else the outcome of the write
    core::status classify_conflict(job_write const& write);

    platform::recovering_writer& rows_;
    decider_lease& lease_;
};

} // namespace sequoiaroute::decider
