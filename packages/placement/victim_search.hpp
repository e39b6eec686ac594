#pragma once

#include "placement/group_fit.hpp"

#include <optional>
#include <span>
#include <vector>

namespace sequoiaroute::placement {

/// A running group that may be preempted.
struct victim
{
    struct member
    {
        std::size_t worker = 0; ///< index of its worker
        jobs::resources task;
    };

    /// The members on workers of this round; others free nothing.
    std::vector<member> members;
    std::int32_t priority = 0;
    double loss_core_seconds = 0;
    bool is_stopped = false; ///< already preempted in this round
    std::size_t job = 0;     ///< as in running_group
    bool makes_job_late = false;
    bool is_guaranteed = false;
    bool is_protected = false;
};

/// Running groups to preempt, and the work that this discards.
struct victim_set
{
    std::vector<std::size_t> victims; ///< indexes of running groups
    double loss_core_seconds = 0;
    std::size_t jobs_made_late = 0;
};

/// @return whether preempting one set costs others less than another one:
///         first by the jobs that miss their objectives, then by the work
bool costs_less(victim_set const& left, victim_set const& right);

/// Finds running groups of lower priority whose preemption lets a waiting group
/// fit into a candidate set. A guaranteed group may also preempt runs of its
/// own priority that are beyond the guarantee of their customer. Takes the
/// cheapest first, then spares those that turn out not to be needed; cheaper
/// combinations may exist. Runs whose jobs would still meet their objectives,
/// or have missed them, cost less than those whose jobs would become late.
///
/// Gangs that need whole workers may arrive in a burst while hundreds of small
/// tasks run. The free resources are therefore updated per worker as victims
/// are tried: a try costs as much as the victim has members.
///
/// @param workers all workers
/// @param candidates the workers that the group may use
/// @param group the waiting group; all of its tasks have to fit
/// @param running the groups that may be preempted
/// @return the victims, all of which are needed; nullopt if the group does not
///         fit even if all are preempted
std::optional<victim_set> find_victims(std::span<worker const> workers,
                                       candidate_set const& candidates,
                                       waiting_group const& group,
                                       std::span<victim const> running);

} // namespace sequoiaroute::placement
