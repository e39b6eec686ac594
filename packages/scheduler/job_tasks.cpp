#include "scheduler/job_tasks.hpp"

#include <algorithm>

namespace sequoiaroute::scheduler {

jobs::occurrence_progress make_occurrence(jobs::job_spec const& spec)
{
    jobs::occurrence_progress occurrence;
    for (auto const& step : spec.steps) {
        occurrence.steps.emplace_back(
            static_cast<std::size_t>(std::max(step.task_count, 0)));
    }
    return occurrence;
}

bool is_step_done(std::span<jobs::task_progress const> tasks)
{
    return std::all_of(tasks.begin(), tasks.end(),
                       [](auto const& task) { return task.is_done; });
}

bool is_occurrence_done(jobs::occurrence_progress const& occurrence)
{
    return std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                       [](auto const& tasks) { return is_step_done(tasks); });
}

jobs::task_progress* find_task(open_job& job, jobs::task_id const& id)
{
    auto const found = job.progress.occurrences.find(id.occurrence);
    if (found == job.progress.occurrences.end())
        return nullptr;
    auto& steps = found->second.steps;
    auto const step = static_cast<std::size_t>(id.step);
    auto const index = static_cast<std::size_t>(id.index);
    if (step >= steps.size() || index >= steps[step].size())
        return nullptr;
    return &steps[step][index];
}

jobs::step_spec const& step_of(open_job const& job, jobs::task_id const& id)
{
    return job.submission.spec.steps[static_cast<std::size_t>(id.step)];
}

step_key step_key_of(jobs::task_id const& id)
{
    return {id.occurrence, id.step};
}

jobs::task_progress* find_checkpoint_owner(open_job& job, jobs::task_id id)
{
    if (step_of(job, id).is_gang)
        id.index = 0;
    return find_task(job, id);
}

} // namespace sequoiaroute::scheduler
