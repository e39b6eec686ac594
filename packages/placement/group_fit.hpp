#pragma once

#include "placement/placement_round.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace sequoiaroute::placement {

/// Which room of a worker counts: `free` or `free_after_stops`.
using room_member = jobs::resources worker::*;

/// Indexes of workers that may be used together for a group: those of the rack
/// with the data, of one rack each for rack-local groups, or all.
using worker_scope = std::vector<std::size_t>;

/// Where the tasks of a group fit.
struct group_fit
{
    std::vector<std::size_t> workers; ///< one for each task that fits
    std::int32_t slowest = 0;         ///< of the workers, for urgent groups
    std::int64_t leftover_accelerators = 0;
};

/// @return whether a worker may run tasks of a group
bool is_candidate(worker const& worker, waiting_group const& group);

/// @return how many tasks of a group a worker can run in some room
std::size_t slots_on(worker const& worker, jobs::resources const& room,
                     waiting_group const& group);

/// @return the scopes in which a group may be placed
std::vector<worker_scope> scopes_of(std::span<worker const> workers,
                                    waiting_group const& group);

/// Fills the workers of one scope, the tightest first.
/// @return the fit; empty if a gang does not fit as a whole
group_fit fit_into(std::span<worker const> workers, worker_scope scope,
                   waiting_group const& group, room_member room);

/// Fills the best scope.
/// @return the fit; empty if nothing fits
group_fit best_fit(std::span<worker const> workers, waiting_group const& group,
                   room_member room);

} // namespace sequoiaroute::placement
