#pragma once

#include "core/codec.hpp"
#include "core/result.hpp"
#include "programs/failover_client.hpp"

#include <string>

namespace sequoiaroute::programs {

/// Prints a job: as JSON with --json, otherwise as a line with its id, state
/// and status, followed by its result.
/// @param job the answer of GET /v1/jobs/ID
void print_job(core::json const& job);

/// @param job the answer of GET /v1/jobs/ID
/// @return ok if the job has not ended or has succeeded, otherwise its error
core::status outcome_of(core::json const& job);

/// Polls a job until it has ended, and prints each change of its state to
/// standard error.
/// @param entries the client
/// @param job_id the job
/// @return the final state; at once the error of a request that is itself
///         wrong; any other error after all polls of a minute have failed
core::result<core::json> watch_job(failover_client& entries,
                                   std::string const& job_id);

} // namespace sequoiaroute::programs
