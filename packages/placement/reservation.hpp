#pragma once

#include "placement/group_fit.hpp"

#include <optional>
#include <span>
#include <vector>

namespace sequoiaroute::placement {

/// The workers that a group waits for, and when it is expected to fit there.
struct reservation
{
    std::vector<std::size_t> workers; ///< one index for each task
    /// From now; the longest duration if it is not known.
    core::duration start = core::duration::max();
};

/// Finds the workers on which a group that does not fit now can start first.
///
/// A wide job would starve under a stream of narrow ones if nothing were kept
/// for it, and a fleet would idle if all room on its workers were. So a
/// reservation has a start, derived from the expected ends of the runs there,
/// and others may use the room until then (EASY backfill; Lifka 1995).
///
/// @param workers all workers
/// @param group the group; all of its tasks need a place
/// @return the workers with the earliest start; nullopt if the group cannot fit
///         even when all runs that end have ended
std::optional<reservation> find_reservation(std::span<worker const> workers,
                                            waiting_group const& group);

/// @param limit a time from now
/// @return the number of tasks of a group that are expected to start before the
///         limit, all on one of its candidate sets; for a gang all or none. The
///         tasks of a rack-local group stay together, so all count if one can
std::size_t tasks_startable_before(std::span<worker const> workers,
                                   waiting_group const& group,
                                   core::duration limit);

} // namespace sequoiaroute::placement
