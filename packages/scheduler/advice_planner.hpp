#pragma once

#include "placement/placement_round.hpp"
#include "scheduler/group_builder.hpp"
#include "scheduler/open_job.hpp"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sequoiaroute::scheduler {

/// A call to the advice service: a step and its candidate executors.
struct advice_request
{
    std::string job_id;
    step_key step;
    std::vector<std::string> executors; ///< ids

    /// @return the name of the step in the call, as JOB.OCCURRENCE.STEP
    std::string step_name() const;
};

/// Selects the executors for which to request tickets of a step.
///
/// The advice service handles one call at a time and takes some milliseconds
/// per executor, while many steps wait. So a call names only a few executors:
/// those on which the tasks were placed and whose tickets are missing or about
/// to expire. If there are none and some tasks were not placed, it names
/// executors that were not queried yet, those with free accelerators first.
///
/// @param job the job of the tasks
/// @param tasks tasks of one step that wait to be placed
/// @param agents the agents on which this round placed the tasks; fewer than
///        tasks if the executors that may run them lack free resources
/// @param workers all workers
/// @param now the current time
/// @return the request; nullopt if no ticket is missing, or no executor is left
///         to query
std::optional<advice_request>
plan_advice_request(open_job const& job, waiting_tasks const& tasks,
                    std::span<std::string const> agents,
                    std::span<placement::worker const> workers,
                    core::time_point now);

/// @return the time at which a ticket must have been received, or later, to be
///         still valid when an order sent at @p now reaches its executor
core::time_point earliest_usable_ticket_time(open_job const& job,
                                             core::time_point now);

} // namespace sequoiaroute::scheduler
