#pragma once

#include "policy/scheduling.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::policy {

/// @param within how near the members must be
/// @return the place in words, such as "one rack"
std::string_view place_name(adjacency within);

/// @param room what is there
/// @param need what one member needs
/// @return how many members fit into the room
int members_that_fit(resources const& room, resources const& need);

/// Finds workers for all members of a job, in the order of the workers.
/// @param job the job to place
/// @param workers the fleet
/// @param free the free resources of each worker, by index
/// @return one worker index per member, or nothing unless all members fit
std::optional<std::vector<std::size_t>>
fit_gang(job_view const& job, std::span<worker_view const> workers,
         std::span<resources const> free);

/// Tells whether a job could run if the whole fleet were idle. Workers that
/// take no work now are counted, because they may return.
/// @param job the job
/// @param workers the fleet
/// @return nothing if the job can run, otherwise the reason for a person
std::optional<std::string>
infeasibility_reason(job_view const& job, std::span<worker_view const> workers);

/// Describes the room that a job needs, such as "4 adjacent accelerators".
/// @param job the job
/// @return the words
std::string describe_need(job_view const& job);

} // namespace sequoiaroute::policy
