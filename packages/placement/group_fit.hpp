#pragma once

#include "placement/placement_round.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace sequoiaroute::placement {

/// A pointer to the member of a worker that holds the resources to fill:
/// `free` or `free_after_stops`.
using resources_member = jobs::resources worker::*;

/// Indexes of workers over which the tasks of a group may be spread: those on
/// the rack with its data, on one rack if the group is rack-local, or all.
using candidate_set = std::vector<std::size_t>;

/// The workers on which the tasks of a group fit.
struct group_fit
{
    std::vector<std::size_t> workers; ///< one index for each task that fits
    /// The highest slowness among the workers; 0 unless the group prefers fast
    /// ones.
    std::int32_t slowest = 0;
    /// Accelerators of the workers that the tasks leave free.
    std::int64_t leftover_accelerators = 0;
};

/// @return whether a worker may run tasks of a group, whatever else runs on it
bool is_candidate(worker const& worker, waiting_group const& group);

/// @param available the resources of the worker that the tasks may use; holds
///        are not deducted
/// @return the resources that tasks of a group may use, without those that are
///         held from a time before which the tasks are not expected to end
jobs::resources available_to(worker const& worker, waiting_group const& group,
                             resources_member available);

/// @param available the resources of the worker that the tasks may use
/// @return the number of tasks of the group that fit, at most its count
std::size_t max_tasks_on(worker const& worker, jobs::resources const& available,
                         waiting_group const& group);

/// @return the sets of workers that may be chosen for a group; none if it has
///         data on a rack without candidates
std::vector<candidate_set> candidate_sets(std::span<worker const> workers,
                                          waiting_group const& group);

/// Fills the workers of one candidate set one after another: the healthiest
/// first, and among these the ones with the fewest accelerators left over.
/// @return the fit, possibly of fewer tasks; empty if a gang does not fit as a
///         whole
group_fit fit_candidate_set(std::span<worker const> workers,
                            candidate_set candidates,
                            waiting_group const& group,
                            resources_member available);

/// Fits a group into each of its candidate sets. A gang is placed on
/// workers of like speed if it fits there.
/// @return the fit with the most tasks, then with the fastest workers for an
///         urgent group, then with the fewest accelerators left; empty if
///         nothing fits
group_fit best_fit(std::span<worker const> workers, waiting_group const& group,
                   resources_member available);

} // namespace sequoiaroute::placement
