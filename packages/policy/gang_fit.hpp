#pragma once

#include "policy/scheduling.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::policy {

/// @return the scope of an adjacency in words, such as "one rack"
std::string_view describe_scope(adjacency within);

/// @param available the available resources
/// @param need the resources that one member needs
/// @return how many members fit into the available resources
int members_that_fit(resources const& available, resources const& need);

/// Finds the first workers that fit all members of a job. Avoided workers are
/// used only if the job does not fit without them.
/// @param job the job to place
/// @param workers the fleet
/// @param free the free resources of each worker, by index
/// @return the worker index of each member, or nothing unless all members fit
std::optional<std::vector<std::size_t>>
find_first_fit(job_view const& job, std::span<worker_view const> workers,
               std::span<resources const> free);

/// Checks whether a job could run on an idle fleet. Includes workers that
/// currently accept no work, because they may accept it again.
/// @param job the job
/// @param workers the fleet
/// @return nothing if the job could run, otherwise a human-readable reason
std::optional<std::string>
infeasibility_reason(job_view const& job, std::span<worker_view const> workers);

/// @return the resources that a job needs, such as "4 adjacent accelerators"
std::string describe_need(job_view const& job);

} // namespace sequoiaroute::policy
