#pragma once

#include "jobs/job_spec.hpp"
#include "rows/row_store.hpp"
#include "scheduler/change_list.hpp"

#include <span>

namespace sequoiaroute::scheduler {

/// Logs that the decider has added a job to its queue.
/// @param job the job
/// @param version the version of the row of the job
void log_job_queued(jobs::submission const& job, rows::row_version version);

/// Logs each run that was ordered, stopped or has ended, and the final state
/// of each job that has finished.
void log_changes(std::span<job_change const> changes);

} // namespace sequoiaroute::scheduler
