#pragma once

#include "core/settings.hpp"
#include "policy/policy_weights.hpp"

#include <string>
#include <vector>

namespace sequoiaroute::programs {

/// @return all keys of an entry's settings file, with their types and defaults
///         (docs/design.md, section 8.3)
std::vector<core::setting_description> entry_setting_descriptions();

/// Reads and checks the settings of an entry.
/// @param path the INI file
/// @return the settings, or bad_settings with the file and, where known, the
///         line and key
core::result<core::settings> read_entry_settings(std::string const& path);

/// @return the placement weights that the key policy.weights selects
policy::policy_weights policy_weights_of(core::settings const& settings);

/// Reads the key that all processes of the system share.
/// @param path the file, whose first word is the key
/// @return the key, or bad_settings if the file has none or cannot be read
core::result<std::string> read_system_key(std::string const& path);

} // namespace sequoiaroute::programs
