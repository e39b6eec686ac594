#pragma once

#include "callers/api_client.hpp"
#include "core/result.hpp"
#include "programs/command_line.hpp"
#include "programs/failover_client.hpp"

namespace sequoiaroute::programs {

// The commands that call entries. Each prints its result to standard output and
// its progress to standard error, reads its flags (flags.hpp), and returns ok
// or the error that determines the exit status.

/// Checks, shows or applies a rule file.
/// @param line the operands
/// @param entries the client for all calls
core::status run_rules(command_line const& line, failover_client& entries);

/// Submits a request or a job and prints its answer or state.
/// @param line the operands
/// @param client submits the request or job
/// @param entries polls the state of the job with --wait
core::status run_submit(command_line const& line, callers::api_client& client,
                        failover_client& entries);

/// Prints the open jobs of the customer, one job, or the answer of a request.
/// @param line the operands
/// @param client finds the answer of a request
/// @param entries the client for jobs
core::status run_status(command_line const& line, callers::api_client& client,
                        failover_client& entries);

/// Cancels one job, or all queued jobs of the customer.
/// @param line the operands
/// @param entries the client for all calls
core::status run_cancel(command_line const& line, failover_client& entries);

/// Prints the state or the counters of an entry.
/// @param line must have no operands
/// @param entries the client for all calls
core::status run_dump(command_line const& line, failover_client& entries);

} // namespace sequoiaroute::programs
