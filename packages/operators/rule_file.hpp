#pragma once

#include "core/result.hpp"
#include "policy/rules.hpp"

#include <string_view>

namespace sequoiaroute::operators {

/// Parses a rule file (docs/design.md, section 8.2).
/// @param file_name the name of the file in errors
/// @param text the text of the file
/// @return the rules with generation 0, or bad_rules with file, line and column
core::result<policy::rule_set> parse_rules(std::string_view file_name,
                                           std::string_view text);

} // namespace sequoiaroute::operators
