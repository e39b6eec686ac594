#pragma once

#include "core/result.hpp"

#include <string>

namespace sequoiaroute::programs {

/// Runs the agent of an executor whose orders are in the row store, until
/// SIGTERM or SIGINT stops it.
/// @param settings_path the INI file
/// @param only_check whether to return after checking the settings
/// @return ok after a graceful stop or the check; bad_settings; internal_error
///         if an address cannot be bound
core::status run_store_agent(std::string const& settings_path, bool only_check);

} // namespace sequoiaroute::programs
