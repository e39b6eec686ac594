#pragma once

#include "scheduler/open_job.hpp"

#include <span>

namespace sequoiaroute::scheduler {

/// @return the progress of a new occurrence, in which no task has run
jobs::occurrence_progress make_occurrence(jobs::job_spec const& spec);

/// @param tasks all tasks of one step
/// @return whether all are done
bool is_step_done(std::span<jobs::task_progress const> tasks);

/// @return whether all tasks of all steps are done
bool is_occurrence_done(jobs::occurrence_progress const& occurrence);

/// @return the progress of a task; null if its occurrence has not begun or is
///         finished, or the job has no such task
jobs::task_progress* find_task(open_job& job, jobs::task_id const& id);

/// @return the step that a task belongs to
jobs::step_spec const& step_of(open_job const& job, jobs::task_id const& id);

/// @return the step and occurrence that a task belongs to
step_key step_key_of(jobs::task_id const& id);

/// Finds the task that stores the checkpoint: the task itself or, in a gang,
/// its first member, since a checkpoint of any member is valid for all.
/// @return the progress of that task; null as for find_task()
jobs::task_progress* find_checkpoint_owner(open_job& job, jobs::task_id id);

} // namespace sequoiaroute::scheduler
