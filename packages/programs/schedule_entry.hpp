#pragma once

#include "core/result.hpp"

#include <string>

namespace sequoiaroute::programs {

/// Runs an entry that keeps its jobs in the row store, until SIGTERM or SIGINT
/// stops it.
/// @param settings_path the INI file
/// @return ok after a graceful stop; bad_settings; internal_error if an address
///         cannot be bound
core::status run_schedule_entry(std::string const& settings_path);

} // namespace sequoiaroute::programs
