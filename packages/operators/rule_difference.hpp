#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::operators {

/// A line that is in only one of two texts.
struct changed_line
{
    bool is_added = false;       ///< whether it is in the newer text
    std::size_t line_number = 1; ///< in its own text, counted from 1
    std::string text;

    bool operator==(changed_line const&) const = default;
};

/// Finds the lines that changed between two texts.
/// @param older the text before the change
/// @param newer the text after the change
/// @return the removed and the added lines in the order of the texts
std::vector<changed_line> find_changed_lines(std::string_view older,
                                             std::string_view newer);

/// @return one line "+ NUMBER: TEXT" or "- NUMBER: TEXT" for each added or
///         removed line
std::string format_changed_lines(std::vector<changed_line> const& lines);

} // namespace sequoiaroute::operators
