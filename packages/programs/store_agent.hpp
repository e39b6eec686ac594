#pragma once

#include "core/result.hpp"

#include <string>

namespace sequoiaroute::programs {

/// Runs the agent beside an executor whose orders are in the store of rows,
/// until a signal ends it.
/// @param settings_path the INI file
/// @param only_check whether to return once the settings are checked
/// @return success after a graceful stop; bad_settings, or internal_error if
///         an address cannot be had
core::status run_store_agent(std::string const& settings_path, bool only_check);

} // namespace sequoiaroute::programs
