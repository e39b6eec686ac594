#pragma once

#include "core/settings.hpp"
#include "event/connection_pool.hpp"

#include <vector>

namespace sequoiaroute::programs {

/// Appends the settings of section [limits] to the descriptions of a program.
/// @param descriptions the settings of the program
/// @param default_connections the default of limits.connections
void add_connection_settings(
    std::vector<core::setting_description>& descriptions,
    std::size_t default_connections);

/// @param settings the settings of the process
/// @return the limits of its clients. They get half of the descriptors that the
///         process may open, at most; the other half is for the store, for
///         executors and for other processes of the system.
event::connection_limits make_connection_limits(core::settings const& settings);

} // namespace sequoiaroute::programs
