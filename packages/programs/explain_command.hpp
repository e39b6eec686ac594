#pragma once

#include "core/result.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::programs {

/// Tells the story of one job from the event logs of all processes.
/// @param id the job
/// @param lines lines of the logs, in any order; others are skipped
/// @return the story, one event a line, with gaps named
std::string explain(std::string_view id, std::span<std::string const> lines);

/// Runs the command: reads the files and prints the story.
/// @param operands the id, then the files
/// @return ok, or bad_request if a file cannot be read
core::status run_explain(std::vector<std::string> const& operands);

} // namespace sequoiaroute::programs
