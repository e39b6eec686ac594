#pragma once

#include "jobs/job_spec.hpp"
#include "jobs/resources.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::placement {

/// Room on a worker that becomes free, or is needed, at some time.
struct future_room
{
    core::duration after{0}; ///< from now
    jobs::resources room;
};

/// The state of a worker in a placement round.
struct worker
{
    std::string agent;    ///< id of its agent, unique among workers
    std::string executor; ///< id of its executor
    std::string service;  ///< the service whose tasks it runs
    std::string rack;
    std::vector<std::string> labels;
    jobs::resources capacity;
    /// Capacity minus all assigned runs. During the round, placements and
    /// reservations are deducted as well, which can make it negative.
    jobs::resources free;
    /// As `free`, but runs that are being stopped count as ended.
    jobs::resources free_after_stops;
    /// Used by runs that need not ever end.
    jobs::resources lasting;
    /// When the other runs that are not being stopped are expected to end.
    std::vector<future_room> expected_ends;
    /// What groups that were placed earlier in the round wait for.
    std::vector<future_room> holds;
    /// Whether new runs may start on it.
    bool is_accepting = true;
    /// Whether fillers run at a reduced rate because they slow down serving
    /// tasks. Such a worker gets no more fillers.
    bool throttles_fillers = false;
    /// The number of recent failures; workers with fewer are preferred.
    double recent_failures = 0;
    /// The run time relative to other workers, as in worker_speed::slowness();
    /// above 0 for slower ones. Groups that are urgent or short of time prefer
    /// fast workers, others slow ones.
    std::int32_t slowness = 0;
};

/// The tasks of one step that wait for placement.
struct waiting_group
{
    std::string service;
    std::size_t count = 1; ///< number of tasks to place
    jobs::resources task;  ///< resources that each task requests
    /// The run time of a task; the longest duration if it is not known.
    core::duration expected_run_time = core::duration::max();
    bool is_gang = false;       ///< all tasks start together, or none
    bool is_rack_local = false; ///< slow unless all tasks are on one rack
    /// How many times as long the tasks take on other racks than suit them.
    double remote_factor = 1;
    bool is_filler = false; ///< runs on CPU time that other tasks leave idle
    std::string data_rack;  ///< rack that holds the input data; may be empty
    std::string required_label; ///< label that a worker must have, if any
    /// The most tasks of the step that one worker may run; 0 for no limit.
    std::size_t max_per_worker = 0;
    /// The number of tasks of the step that already run, by agent.
    std::map<std::string, std::size_t> running_tasks_by_agent;
    /// Agents on which a task of the step failed recently; they are excluded.
    std::set<std::string> avoided;
    /// Ids of the executors that may run the tasks; nullopt for any.
    std::optional<std::set<std::string>> allowed_executors;
    /// 0 is urgent. A group may preempt groups with a higher number.
    std::int32_t priority = 0;
    /// Whether it would miss its objective on a slow worker.
    bool is_short_of_time = false;
    /// Urgent groups and those short of time prefer fast workers; the others
    /// leave these to them.
    bool prefers_fast_workers() const
    {
        return priority == 0 || is_short_of_time;
    }
    /// Whether the guarantee of its customer covers it, which entitles it to
    /// preempt running work.
    bool is_guaranteed = false;
    /// Tasks that are not expected to start on a suitable rack within this time
    /// start on any.
    core::duration rack_wait_limit = core::duration::max();
    /// The same while most of the service is idle.
    core::duration idle_rack_wait_limit = core::duration::max();
    /// @return whether only some racks suit it
    bool has_rack_preference() const
    {
        return is_rack_local || !data_rack.empty();
    }
    /// The number of accelerators of its service that must stay free for
    /// urgent work when the group is placed.
    std::int64_t accelerator_headroom = 0;
    /// Whether workers may be reserved for the group when it does not fit, so
    /// that groups placed after it cannot take the resources.
    bool can_reserve = false;
    /// The most work, in core-seconds, that preemption may discard to start it.
    double preemption_budget = 0;
    /// Whether it may preempt runs whose jobs miss their objectives by that.
    bool may_make_jobs_late = true;
};

/// Runs that can only be stopped together: a single task, or all members of a
/// gang.
struct running_group
{
    struct member
    {
        std::string agent;
        jobs::resources task;
    };

    std::vector<member> members;
    std::int32_t priority = 0;
    /// The work that stopping the group would discard.
    double loss_core_seconds = 0;
    std::size_t job = 0; ///< number of its job among those of the round
    /// Its job is expected to meet its objective, and would not after a stop.
    bool makes_job_late = false;
    /// The guarantee of its customer covers its job.
    bool is_guaranteed = false;
    /// Its job has been preempted often; only guaranteed work may stop it.
    bool is_protected = false;
};

/// The agents assigned to the tasks of a group.
struct placed_group
{
    std::size_t group = 0;           ///< index into the waiting groups
    std::vector<std::string> agents; ///< one for each placed task
};

/// Why tasks of a group were not placed.
enum class wait_reason
{
    room,     ///< they fit on no worker that they may use
    rack,     ///< they fit on none of the racks that suit them
    headroom, ///< they would take what is kept free for urgent work
    stops,    ///< their room is used by runs that are being stopped
};

/// @return a reason as text for log lines
std::string_view name(wait_reason reason);

/// Tasks of a group that were not placed.
struct unplaced_group
{
    std::size_t group = 0; ///< index into the waiting groups
    std::size_t tasks = 0;
    wait_reason reason = wait_reason::room;
};

struct round_result
{
    std::vector<placed_group> placed;
    std::vector<unplaced_group> unplaced;
    std::vector<std::size_t> stopped; ///< indexes of running groups to preempt
};

/// Decides on which workers waiting tasks start and which running groups are
/// preempted.
///
/// Urgent gangs arrive in bursts while the workers are full of less urgent
/// work. A group with a preemption budget preempts the running groups whose
/// loss is least. Their resources count as used until the runs have ended, and
/// stay reserved for the group meanwhile. Groups that may reserve also get a
/// reservation without preemption, so that small tasks do not starve large
/// gangs. Tasks that are expected to end before the start of a reservation may
/// use its room until then.
///
/// @param workers the workers of all services
/// @param waiting the groups, in the order in which they are placed: the most
///                urgent first
/// @param running the groups that may be preempted
/// @return the placements, and the groups to preempt
round_result run_round(std::vector<worker> workers,
                       std::span<waiting_group const> waiting,
                       std::span<running_group const> running);

/// Finds agents for the tasks of a group.
/// @param workers the workers of all services
/// @param group the group
/// @param available the member that holds the resources to fill, such as
///                  `&worker::free`
/// @return the agents, one for each task that fits; for a gang either all of
///         them or none
std::vector<std::string> find_agents(std::span<worker const> workers,
                                     waiting_group const& group,
                                     jobs::resources worker::*available);

} // namespace sequoiaroute::placement
