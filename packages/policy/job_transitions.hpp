#pragma once

#include "core/result.hpp"
#include "policy/job_record.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// State transitions of a job. Each function returns the changed record, or a
/// conflict error if the job's state does not allow the transition. Reasons are
/// human-readable sentences.
namespace sequoiaroute::policy::job_transitions {

/// Number of distinct workers on which a job must fail to end in the state
/// fails_everywhere.
inline constexpr std::size_t distinct_failed_workers_limit = 3;

/// Maximum number of failed attempts of a job. Needed as well, because a fleet
/// with fewer than three workers never reaches three distinct ones.
inline constexpr std::size_t failed_attempts_limit = 8;

/// The changed record, or a conflict error.
using change = core::result<job_record>;

/// Begins an attempt: queued -> reserving. Increments the attempt number.
/// @param record the job
/// @param term the term of the decider
/// @param placed the worker and agent of each member
/// @param is_borrowing whether the job runs beyond its customer's guarantee
change reserve(job_record const& record, std::uint64_t term,
               std::vector<placed_member> placed, bool is_borrowing);

/// Commits an attempt: reserving -> running.
change commit(job_record const& record);

/// Abandons an attempt that was not committed: reserving -> queued, or
/// cancelled if that was requested. Increments the attempt number, so that late
/// messages of the old attempt are not attributed to the next one.
change abandon(job_record const& record);

/// Begins to stop an attempt: running -> stopping.
/// @param record the job
/// @param code execution_failed if a member failed, otherwise the cause
/// @param reason why the attempt is stopped
/// @param failed_worker the worker of the failed member, empty if none failed
change stop(job_record const& record, core::result_code code,
            std::string reason, std::string_view failed_worker = {});

/// Ends a stopped attempt: stopping -> queued or a final state. The end of all
/// members must be confirmed.
change end_attempt(job_record const& record);

/// Finishes a job: running or stopping -> finished.
/// @param record the job
/// @param attempt the attempt that finished; an older one is a conflict
/// @param result_key key of the object that holds the outputs
change finish(job_record const& record, std::uint64_t attempt,
              std::string result_key);

/// Cancels a job. A queued job is cancelled immediately; otherwise the request
/// is recorded and the job is cancelled when its attempt ends. A final job is a
/// conflict.
change cancel(job_record const& record);

/// Rejects a job that can never run: queued -> rejected.
change reject(job_record const& record, std::string reason);

} // namespace sequoiaroute::policy::job_transitions
