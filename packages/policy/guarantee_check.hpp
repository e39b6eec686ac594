#pragma once

#include "core/result.hpp"
#include "policy/scheduling.hpp"

#include <span>

namespace sequoiaroute::policy {

/// Checks whether all guaranteed shapes fit in the fleet at the same time.
/// Includes workers that currently accept no work, because they may accept it
/// again.
/// @param rules the rules to check
/// @param workers the known fleet
/// @return ok, or guarantees_do_not_fit with the customers and shapes
core::status check_guarantees(rule_set const& rules,
                              std::span<worker_view const> workers);

/// Checks whether all guarantees can be met by stopping borrowing jobs only.
/// @param cluster the fleet with its running jobs
/// @return ok, or guarantees_do_not_fit with the customers and shapes
core::status check_reclaimable(cluster_view const& cluster);

} // namespace sequoiaroute::policy
