#include "scheduler/run_locality.hpp"

#include "scheduler/job_tasks.hpp"

namespace sequoiaroute::scheduler {

namespace {

/// Whether a run of a step on another rack slows all its runs: the members of a
/// gang end together, and rack-local tasks talk to each other.
bool is_slowed_together(jobs::step_spec const& step)
{
    return step.is_gang || step.is_rack_local;
}

/// @return another run of the step of a task whose rack is known; null if there
///         is none. All runs of a step that is slowed together are as slow
assignment const* find_other_run(open_job const& job, jobs::task_id const& task)
{
    auto first = task;
    first.index = 0;
    for (auto run = job.assignments.lower_bound(first);
         run != job.assignments.end() &&
         step_key_of(run->first) == step_key_of(task);
         ++run) {
        if (run->first != task && !run->second.rack.empty())
            return &run->second;
    }
    return nullptr;
}

} // namespace

bool is_away_from_data(jobs::step_spec const& step, std::string const& rack)
{
    return !step.data_rack.empty() && step.data_rack != rack;
}

void note_rack(open_job& job, jobs::task_id const& task,
               std::string const& rack, double remote_factor)
{
    auto& noted = job.assignments.at(task);
    auto const& step = step_of(job, task);
    noted.rack = rack;
    bool is_slow = is_away_from_data(step, rack);
    auto const* const other =
        is_slowed_together(step) ? find_other_run(job, task) : nullptr;
    bool const is_other_slow = other != nullptr && other->run_time_factor > 1;
    if (other != nullptr && step.is_rack_local)
        is_slow = is_slow || other->rack != rack;
    if (is_slow || is_other_slow)
        noted.run_time_factor = remote_factor;
    if (other == nullptr || !is_slow || is_other_slow)
        return;
    for (auto& [member, run] : job.assignments) {
        if (step_key_of(member) == step_key_of(task))
            run.run_time_factor = remote_factor;
    }
}

} // namespace sequoiaroute::scheduler
