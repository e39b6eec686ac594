#include "scheduler/run_lessons.hpp"

#include "scheduler/job_tasks.hpp"

#include <fmt/format.h>

namespace sequoiaroute::scheduler {

namespace {

/// A smaller advance says little of the speed of a worker.
constexpr std::int32_t speed_percent = 25;

/// @return whether a run of this step shows how fast its worker alone is; the
///         members of a gang go together, and tasks off their rack are slowed
bool shows_speed(jobs::step_spec const& step)
{
    return !step.is_gang && !step.is_rack_local && !step.is_long_running;
}

std::string group_of(jobs::task_id const& task)
{
    return fmt::format("{}.{}", task.job_id, task.step);
}

} // namespace

void run_lessons::observe_progress(open_job const& job, assignment& run)
{
    auto const& task = run.order.run.task;
    auto const advance = run.percent - run.first_percent;
    if (run.is_speed_known || advance < speed_percent ||
        !shows_speed(step_of(job, task)))
        return;
    run.is_speed_known = true;
    auto const observed_for = run.observed_at - *run.seen_running_at;
    speed.record(run.order.agent, group_of(task), observed_for * 100 / advance);
}

void run_lessons::observe_success(open_job const& job, assignment const& run,
                                  core::time_point now)
{
    // A run from a checkpoint has less to do.
    if (!run.order.checkpoint.empty())
        return;
    auto const& task = run.order.run.task;
    auto const& step = step_of(job, task);
    auto const taken = now - run.ordered_at;
    run_times.record(job.submission.parameters.queue, step.estimate, taken);
    if (!run.is_speed_known && shows_speed(step))
        speed.record(run.order.agent, group_of(task), taken);
}

void run_lessons::forget(std::string const& agent)
{
    health.forget(agent);
    speed.forget(agent);
}

} // namespace sequoiaroute::scheduler
