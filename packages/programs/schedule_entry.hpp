#pragma once

#include "core/result.hpp"

#include <string>

namespace sequoiaroute::programs {

/// Runs an entry that keeps its jobs in the store of rows, until a signal
/// ends it.
/// @param settings_path the INI file
/// @return success after a graceful stop; bad_settings, or internal_error if
///         an address cannot be had
core::status run_schedule_entry(std::string const& settings_path);

} // namespace sequoiaroute::programs
