#pragma once

#include "jobs/job_spec.hpp"
#include "rows/row_store.hpp"
#include "scheduler/change_list.hpp"
#include "scheduler/group_builder.hpp"
#include "scheduler/worker_view.hpp"

#include <span>

namespace sequoiaroute::scheduler {

/// Logs that the decider has added a job to its queue.
/// @param job the job
/// @param version the version of the row of the job
void log_job_queued(jobs::submission const& job, rows::row_version version);

/// Logs each run that was ordered, stopped or has ended, and the final state
/// of each job that has finished.
void log_changes(std::span<job_change const> changes);

/// Logs the agents whose runs were taken as lapsed because they were silent.
/// The lines of the runs do not show for how long.
void log_lost_agents(std::span<lost_agent const> agents);

/// Logs why tasks wait.
void log_waits(std::span<step_wait const> waits);

} // namespace sequoiaroute::scheduler
