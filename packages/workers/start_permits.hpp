#pragma once

#include "core/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiaroute::workers {

/// Identifies one attempt of a request.
struct request_attempt
{
    std::string customer;
    std::string request_id;
    std::string attempt_id;
    std::uint64_t claim_attempt = 0; ///< attempt number in the request's row
};

/// How an attempt that was permitted to start ended.
struct permit_outcome
{
    core::result_code code = core::result_code::ok;
    std::string message;
};

/// Grants each unrepeatable request the permission to start at most once
/// (docs/design.md, section 3.6). The row of a request changes from claimed to
/// started, and then to finished or failed, or back to claimed.
class start_permits
{
public:
    virtual ~start_permits() = default;

    /// Changes the row from claimed to started.
    /// @param attempt the attempt that wants to start
    /// @return ok if the attempt may start; refused_not_run if the row is not
    ///         claimed for it; not_run_store_unavailable if the table failed
    ///         and the row was certainly not changed; outcome_unknown if it may
    ///         have been changed. The attempt may start only if this is ok.
    virtual core::status acquire(request_attempt const& attempt) = 0;

    /// Changes the row from started to finished or failed.
    /// @param attempt the attempt that acquired the permit
    /// @param outcome how it ended
    /// @return ok, also if the row already has this state; conflict if the row
    ///         does not belong to the attempt; else an error of the table,
    ///         after which the call can be retried
    virtual core::status record_outcome(request_attempt const& attempt,
                                        permit_outcome const& outcome) = 0;

    /// Changes the row from started back to claimed after the executor
    /// refused to run the attempt.
    /// @param attempt the attempt that acquired the permit
    /// @return as record_outcome()
    virtual core::status revert_to_claimed(request_attempt const& attempt) = 0;
};

} // namespace sequoiaroute::workers
