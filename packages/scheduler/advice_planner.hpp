#pragma once

#include "placement/placement_round.hpp"
#include "scheduler/group_builder.hpp"
#include "scheduler/open_job.hpp"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sequoiaroute::scheduler {

/// A step and the executors to request_tickets the advice service about.
struct advice_request
{
    std::string job_id;
    step_key step;
    std::vector<std::string> executors;

    /// @return the name under which the service knows the step
    std::string step_name() const;
};

/// Decides about which executors the advice service is asked.
///
/// The load that it answers: the service answers one call at a time and needs
/// some milliseconds for each executor, while many steps wait. So a step asks
/// about few executors, those with room first; once it has a place, only about
/// those of the place whose tickets are too old.

/// @param job the job of the waiting tasks
/// @param tasks the waiting tasks
/// @param agents where the round has placed them; fewer than there are tasks if
///        there was no room on executors that may run them
/// @param workers the workers
/// @param now the current time
/// @return what to request_tickets; nothing if all tickets are there, or no
/// more executors
///         are
std::optional<advice_request>
plan_advice(open_job const& job, waiting_tasks const& tasks,
            std::span<std::string const> agents,
            std::span<placement::worker const> workers, core::time_point now);

/// @return when a ticket has to have been given to be used for a start now
core::time_point oldest_ticket(open_job const& job, core::time_point now);

} // namespace sequoiaroute::scheduler
