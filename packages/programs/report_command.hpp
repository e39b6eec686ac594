#pragma once

#include "core/result.hpp"

#include <string>
#include <vector>

namespace sequoiaroute::programs {

/// Runs the command "report": prints what jobs waited for and which work was
/// lost, and writes the time line to the file that --plot names.
/// @param operands the event logs of all processes
/// @return ok, or bad_request if no file is named or one cannot be read or
///         written
core::status run_report(std::vector<std::string> const& operands);

} // namespace sequoiaroute::programs
