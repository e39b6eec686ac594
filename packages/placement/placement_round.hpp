#pragma once

#include "jobs/job_spec.hpp"
#include "jobs/resources.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace sequoiaroute::placement {

/// A worker as a placement round sees it.
struct worker
{
    std::string agent;
    std::string executor; ///< the id of its executor
    std::string service;
    std::string rack;
    std::vector<std::string> labels;
    jobs::resources capacity;
    /// What is free now; below zero once room is set aside.
    jobs::resources free;
    /// What is free once all runs that are being stopped have ended.
    jobs::resources free_after_stops;
    bool is_accepting = true;
    /// Its fillers may not work fully, since they slow serving tasks.
    bool throttles_fillers = false;
    /// Of two workers that fit alike, the one with less goes first.
    double penalty = 0;
    /// Its run times in tenths relative to others; above 0 for slower ones.
    /// Urgent tasks go to fast workers, patient ones rather to slow ones.
    std::int32_t slowness = 0;
};

/// Tasks of one step that wait.
struct waiting_group
{
    std::string service;
    std::size_t count = 1; ///< how many tasks wait
    jobs::resources task;
    bool is_gang = false; ///< all tasks start together, or none
    bool is_rack_local = false;
    bool is_filler = false;
    std::string data_rack;
    std::string required_label;
    std::size_t max_per_worker = 0; ///< 0 for any number
    /// Tasks of the step that run already, by agent.
    std::map<std::string, std::size_t> running_tasks_by_agent;
    /// Agents that failed these tasks before.
    std::set<std::string> avoided;
    /// The executors that may run the tasks; nothing if all may.
    std::optional<std::set<std::string>> allowed_executors;
    std::int32_t priority = 0;
    /// Its customer's guarantee covers it, so room is taken back for it.
    bool is_guaranteed = false;
    /// It may be placed off its rack, since waiting longer is worse.
    bool is_any_rack_allowed = false;
    /// Accelerators of its service that it has to leave free.
    std::int64_t accelerator_headroom = 0;
    /// Lower groups must not take the room that it waits for.
    bool can_reserve = false;
    /// The highest loss, in core-seconds, that may be caused to start it.
    double preemption_budget = 0;
};

/// Runs that are stopped together: one task, or all members of a gang.
struct running_group
{
    struct member
    {
        std::string agent;
        jobs::resources task;
    };

    std::vector<member> members;
    std::int32_t priority = 0;
    /// Work that a stop would throw away.
    double loss_core_seconds = 0;
};

/// Where the tasks of a group go.
struct placed_group
{
    std::size_t group = 0;           ///< index of the waiting group
    std::vector<std::string> agents; ///< one for each task that is placed
};

struct round_result
{
    std::vector<placed_group> placed;
    std::vector<std::size_t> stopped; ///< indexes of running groups
};

/// Decides where waiting tasks go and which running ones give way.
///
/// The load that it answers: urgent gangs arrive in bursts on workers that are
/// full of patient work. A group that a guarantee covers sets running work
/// aside at the least loss; what is being stopped counts as taken until its
/// end, and the room is kept for the group meanwhile. Groups that wait long
/// keep room too, so that small tasks do not starve large gangs.
///
/// @param workers the workers of all services
/// @param waiting the groups, the most urgent first
/// @param running what may be stopped
/// @return the decisions
round_result run_round(std::vector<worker> workers,
                       std::span<waiting_group const> waiting,
                       std::span<running_group const> running);

/// Finds workers for tasks of a group.
/// @param workers the candidates
/// @param group the group
/// @param room which room of a worker counts
/// @return the agents, one for each task; fewer than wanted only if the group
///         is no gang; empty if none fits
std::vector<std::string> fit_group(std::span<worker const> workers,
                                   waiting_group const& group,
                                   jobs::resources worker::*room);

} // namespace sequoiaroute::placement
