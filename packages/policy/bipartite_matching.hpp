#pragma once

#include <cstddef>
#include <functional>
#include <vector>

namespace sequoiaroute::policy {

/// Partner of an element that has none.
inline constexpr auto unmatched = static_cast<std::size_t>(-1);

/// Finds a maximum matching by augmenting paths (Kuhn's algorithm). Left
/// elements are matched in order, each to its most preferred unmatched partner;
/// those without preferences to the first unmatched one.
/// @param left number of left elements
/// @param right number of right elements
/// @param preferences for each of the first left elements, the right elements
///        in the order of preference
/// @param is_compatible whether a left and a right element may be paired
/// @return the partner of each left element, or unmatched
std::vector<std::size_t> maximum_matching(
    std::size_t left, std::size_t right,
    std::vector<std::vector<std::size_t>> const& preferences,
    std::function<bool(std::size_t, std::size_t)> const& is_compatible);

} // namespace sequoiaroute::policy
