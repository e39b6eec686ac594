#pragma once

#include "core/result.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::operators {

/// A word of a rule line.
struct rule_word
{
    std::string_view text;
    std::size_t column = 1; ///< of its first character, counted from 1
};

/// A word KEY=VALUE of a rule line.
struct rule_setting
{
    rule_word key;
    rule_word value;
};

/// The location of a line in a rule file, for errors.
struct rule_location
{
    std::string_view file_name;
    std::size_t line = 1; ///< counted from 1

    /// @param column the column of the fault, counted from 1
    /// @param message describes the fault
    /// @return bad_rules with file, line, column and message
    core::error error_at(std::size_t column, std::string_view message) const;
};

/// A rule, split into words but not yet interpreted. Its views point into the
/// text of the file.
struct rule_line
{
    rule_location location;
    rule_word kind; ///< "customer", "limit" or "guarantee", unchecked
    rule_word customer;
    std::vector<rule_setting> settings;
};

/// Splits a line into words. A rule must end with a comment that names its
/// requester, "# asked for by NAME".
/// @param location the location of the line
/// @param text the line without its line break
/// @return the rule; nothing if the line is empty or a comment; or bad_rules
core::result<std::optional<rule_line>> split_rule_line(rule_location location,
                                                       std::string_view text);

/// Parses the value of a setting as a number.
/// @param location the location of the line
/// @param setting the key and its value
/// @param min_value the lowest valid number
/// @param max_value the highest valid number
/// @return the number, or bad_rules
core::result<int> parse_number(rule_location location,
                               rule_setting const& setting, int min_value,
                               int max_value);

} // namespace sequoiaroute::operators
