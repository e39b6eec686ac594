#pragma once

#include "core/settings.hpp"
#include "event/connection_pool.hpp"

#include <vector>

namespace sequoiaroute::programs {

/// Appends the settings of section [limits] to the descriptions of a program.
/// @param descriptions the settings of the program
void add_connection_settings(
    std::vector<core::setting_description>& descriptions);

/// @param settings the settings of the process
/// @return the limits of its clients
event::connection_limits make_connection_limits(core::settings const& settings);

} // namespace sequoiaroute::programs
