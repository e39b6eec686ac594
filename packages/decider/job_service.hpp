#pragma once

#include "core/result.hpp"
#include "policy/job_record.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::decider {

/// A job and a description of its state for people.
struct job_status
{
    policy::job_record record;
    std::string text;   ///< such as "waiting for 4 adjacent accelerators; ..."
    std::string result; ///< content of the result object; only from status()
};

/// The operations of the job API. Every entry provides them, whether or not it
/// is the decider. Any operation may also return an error of the table.
class job_service
{
public:
    virtual ~job_service() = default;

    /// Submits a job. Idempotent by id and content.
    /// @param submission the job; an id is generated if it has none
    /// @return the job; request_id_reused if the id belongs to a different
    ///         submission; write_unknown if the job may have been accepted;
    ///         not_run_store_unavailable if it was not; bad_request; not_ready,
    ///         rules_unconfirmed, job_never_fits or limit_exceeded_not_run if
    ///         it is not admitted
    virtual core::result<job_status>
    submit(policy::job_submission const& submission) = 0;

    /// Reads a job and the result of a finished one.
    /// @return the job; unknown_job if it does not exist or belongs to another
    ///         customer
    virtual core::result<job_status> status(std::string_view customer,
                                            std::string_view job_id) = 0;

    /// Lists the jobs of a customer that are not in a final state, without
    /// waiting notes.
    virtual core::result<std::vector<job_status>>
    list(std::string_view customer) = 0;

    /// Cancels a queued job, or requests the cancellation of a placed one. A
    /// job that is already final stays as it is.
    /// @return the job after the change; unknown_job as for status(); conflict
    ///         if the row changed during every try
    virtual core::result<job_status> cancel(std::string_view customer,
                                            std::string_view job_id) = 0;

    /// Cancels all queued jobs of a customer. After an error, some of them may
    /// have been cancelled.
    /// @return the number of jobs cancelled
    virtual core::result<std::size_t>
    cancel_queued(std::string_view customer) = 0;
};

} // namespace sequoiaroute::decider
