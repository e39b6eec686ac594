#include "operators/rule_difference.hpp"

#include <algorithm>
#include <cstdint>

#include <fmt/format.h>

namespace sequoiaroute::operators {

namespace {

using line_list = std::vector<std::string_view>;

/// Bounds the memory of the comparison, which is proportional to the product of
/// both line counts. Above this product, all lines between the common prefix
/// and the common suffix count as changed.
constexpr std::size_t max_table_cells = 16'000'000;

line_list split_lines(std::string_view text)
{
    line_list lines;
    while (!text.empty()) {
        auto const end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

/// The lengths of the longest common subsequences of all pairs of suffixes of
/// two texts.
class common_subsequence_table
{
public:
    common_subsequence_table(line_list const& older, line_list const& newer)
        : width_(newer.size() + 1), lengths_((older.size() + 1) * width_)
    {
        for (std::size_t i = older.size(); i-- > 0;) {
            for (std::size_t j = newer.size(); j-- > 0;) {
                lengths_[i * width_ + j] =
                    older[i] == newer[j] ? at(i + 1, j + 1) + 1
                                         : std::max(at(i + 1, j), at(i, j + 1));
            }
        }
    }

    /// @return the length for the suffixes that start at line i of the older
    ///         text and line j of the newer text
    std::uint32_t at(std::size_t i, std::size_t j) const
    {
        return lengths_[i * width_ + j];
    }

private:
    std::size_t width_;
    std::vector<std::uint32_t> lengths_;
};

/// Advances through two texts in parallel and collects the lines that differ.
struct difference_builder
{
    line_list const& older;
    line_list const& newer;
    std::size_t line_offset; ///< number of lines in the common prefix
    std::vector<changed_line> changed_lines;
    std::size_t older_index = 0;
    std::size_t newer_index = 0;

    void remove()
    {
        changed_lines.push_back({false, line_offset + older_index + 1,
                                 std::string(older[older_index])});
        ++older_index;
    }

    void add()
    {
        changed_lines.push_back({true, line_offset + newer_index + 1,
                                 std::string(newer[newer_index])});
        ++newer_index;
    }

    void add_remaining()
    {
        while (older_index < older.size())
            remove();
        while (newer_index < newer.size())
            add();
    }
};

/// Compares the texts up to the end of one of them.
void compare_lines(difference_builder& builder)
{
    common_subsequence_table const table(builder.older, builder.newer);
    while (builder.older_index < builder.older.size() &&
           builder.newer_index < builder.newer.size()) {
        if (builder.older[builder.older_index] ==
            builder.newer[builder.newer_index]) {
            ++builder.older_index;
            ++builder.newer_index;
        } else if (table.at(builder.older_index + 1, builder.newer_index) >=
                   table.at(builder.older_index, builder.newer_index + 1)) {
            builder.remove();
        } else {
            builder.add();
        }
    }
}

/// Removes the last lines of both lists as long as they are equal.
void remove_common_suffix(line_list& older, line_list& newer)
{
    while (!older.empty() && !newer.empty() && older.back() == newer.back()) {
        older.pop_back();
        newer.pop_back();
    }
}

/// Removes the first lines of both lists as long as they are equal.
/// @return the number of lines removed from each list
std::size_t remove_common_prefix(line_list& older, line_list& newer)
{
    auto const [end, unused] =
        std::mismatch(older.begin(), older.end(), newer.begin(), newer.end());
    auto const count = end - older.begin();
    older.erase(older.begin(), end);
    newer.erase(newer.begin(), newer.begin() + count);
    return static_cast<std::size_t>(count);
}

} // namespace

std::vector<changed_line> find_changed_lines(std::string_view older,
                                             std::string_view newer)
{
    auto older_lines = split_lines(older);
    auto newer_lines = split_lines(newer);
    remove_common_suffix(older_lines, newer_lines);
    auto const line_offset = remove_common_prefix(older_lines, newer_lines);
    difference_builder builder{older_lines, newer_lines, line_offset, {}};
    if (older_lines.size() * newer_lines.size() <= max_table_cells)
        compare_lines(builder);
    builder.add_remaining();
    return builder.changed_lines;
}

std::string format_changed_lines(std::vector<changed_line> const& lines)
{
    std::string text;
    for (auto const& line : lines) {
        text += fmt::format("{} {}: {}\n", line.is_added ? '+' : '-',
                            line.line_number, line.text);
    }
    return text;
}

} // namespace sequoiaroute::operators
