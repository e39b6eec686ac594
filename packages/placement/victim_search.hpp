#pragma once

#include "placement/group_fit.hpp"

#include <optional>
#include <span>
#include <vector>

namespace sequoiaroute::placement {

/// A running group with its workers by index.
struct victim
{
    struct member
    {
        std::size_t worker = 0;
        jobs::resources task;
    };

    std::vector<member> members; ///< those on workers that are known
    std::int32_t priority = 0;
    double loss_core_seconds = 0;
    bool is_stopped = false; ///< chosen in this round already
};

/// Running groups to stop, and what that throws away.
struct victim_set
{
    std::vector<std::size_t> victims;
    double loss_core_seconds = 0;
};

/// Finds the running groups whose end makes room for a waiting one in a scope.
///
/// The load that it answers: hundreds of small tasks run, and gangs of whole
/// workers arrive in a burst. The room is kept by worker while victims are
/// tried, so that a try costs as much as the victim has members.
///
/// @param workers all workers
/// @param scope the workers that the group may use
/// @param group the group
/// @param running what may be stopped
/// @return the victims, none of which is needless; nothing if even all do not
///         make enough room
std::optional<victim_set> find_victims(std::span<worker const> workers,
                                       worker_scope const& scope,
                                       waiting_group const& group,
                                       std::span<victim const> running);

} // namespace sequoiaroute::placement
