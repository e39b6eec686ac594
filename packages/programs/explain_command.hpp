#pragma once

#include "core/result.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::programs {

/// Builds the timeline of one job from the event logs of all processes.
/// @param job_id the job
/// @param lines lines of the logs, in any order; lines that are no events of
///              the job are ignored
/// @return one line for each event in order of time, then for each cause of
///         lost time, then for each expected event that is missing
std::string explain(std::string_view job_id,
                    std::span<std::string const> lines);

/// Runs the command "explain": prints the timeline of a job.
/// @param operands the job id, then the log files
/// @return ok, or bad_request if operands are missing or a file cannot be read
core::status run_explain(std::vector<std::string> const& operands);

} // namespace sequoiaroute::programs
