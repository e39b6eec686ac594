#pragma once

#include "scheduler/open_job.hpp"

#include <span>

namespace sequoiaroute::scheduler {

/// @return an occurrence in which no task has run
jobs::occurrence_progress make_occurrence(jobs::job_spec const& spec);

/// @return whether all tasks of a step are done
bool is_step_done(std::span<jobs::task_progress const> tasks);

/// @return whether all tasks of all steps are done
bool is_occurrence_done(jobs::occurrence_progress const& occurrence);

/// @return what is recorded of a task; null if its occurrence is not open
jobs::task_progress* find_task(open_job& job, jobs::task_id const& id);

/// @return the step that a task belongs to
jobs::step_spec const& step_of(open_job const& job, jobs::task_id const& id);

/// @return the step of one occurrence that a task belongs to
step_key key_of(jobs::task_id const& id);

/// @return where the checkpoint of a task is recorded; that of any member of a
///         gang is valid for all, so a gang has one
jobs::task_progress* checkpoint_holder(open_job& job, jobs::task_id id);

} // namespace sequoiaroute::scheduler
