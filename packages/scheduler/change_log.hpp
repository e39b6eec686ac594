#pragma once

#include "jobs/job_spec.hpp"
#include "rows/row_store.hpp"
#include "scheduler/change_list.hpp"

#include <span>

namespace sequoiaroute::scheduler {

/// Logs that a job is known to the decider.
/// @param job the job
/// @param version of the row that holds it
void log_queued(jobs::submission const& job, rows::row_version version);

/// Logs each run that is ordered, stopped or ended, and each final state.
void log_changes(std::span<job_change const> changes);

} // namespace sequoiaroute::scheduler
