#pragma once

#include "scheduler/open_job.hpp"

#include <string>

namespace sequoiaroute::scheduler {

/// @return whether tasks of a step take longer on a rack, since their data are
///         on another one
bool is_away_from_data(jobs::step_spec const& step, std::string const& rack);

/// Notes the rack of a run, and how many times as long it takes there: away
/// from the data of its step, or because a rack-local step runs on several
/// racks. What learns from run times, or judges progress, goes by that: a run
/// away from its data shows neither a slow worker nor a longer kind of task.
/// @param job the job of the run; the other runs of a gang or of a rack-local
///        step are updated as well
/// @param task a task that has a run
/// @param rack the rack of its worker
/// @param remote_factor as in locality_limits
void note_rack(open_job& job, jobs::task_id const& task,
               std::string const& rack, double remote_factor);

} // namespace sequoiaroute::scheduler
