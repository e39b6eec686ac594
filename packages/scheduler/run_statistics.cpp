#include "scheduler/run_statistics.hpp"

#include "scheduler/job_tasks.hpp"

#include <fmt/format.h>

namespace sequoiaroute::scheduler {

namespace {

/// Progress below this, in percent, is too little to derive a worker's speed.
constexpr std::int32_t min_speed_advance_percent = 25;

/// @return whether the run time of a task of this step depends on its worker
///         alone. Members of a gang run at the pace of the slowest, and
///         rack-local tasks are slower if they are not all on one rack.
bool is_speed_sample(jobs::step_spec const& step)
{
    return !step.is_gang && !step.is_rack_local && !step.is_long_running;
}

/// @return the group of tasks, of one job and step, whose run times compare
std::string sample_group_of(jobs::task_id const& task)
{
    return fmt::format("{}.{}", task.job_id, task.step);
}

} // namespace

void run_statistics::observe_progress(open_job const& job, assignment& run)
{
    auto const& task = run.order.run.task;
    auto const advance = run.percent - run.first_seen_percent;
    if (run.is_speed_recorded || run.was_ordered_cold ||
        advance < min_speed_advance_percent ||
        !is_speed_sample(step_of(job, task)))
        return;
    run.is_speed_recorded = true;
    auto const observed_time = core::scaled(
        run.last_seen_at - *run.first_seen_at, 1 / run.run_time_factor);
    speed.record(run.order.agent, sample_group_of(task),
                 observed_time * 100 / advance);
}

void run_statistics::observe_success(open_job const& job, assignment const& run,
                                     core::time_point now)
{
    // A run that starts from a checkpoint has less work to do, and the start of
    // one that an earlier decider ordered is not known.
    if (!run.order.checkpoint.empty() || run.is_restored ||
        run.was_ordered_cold)
        return;
    auto const& task = run.order.run.task;
    auto const& step = step_of(job, task);
    auto const run_time =
        core::scaled(now - run.ordered_at, 1 / run.run_time_factor);
    run_times.record(job.submission.parameters.queue, step.estimate, run_time);
    if (!run.is_speed_recorded && is_speed_sample(step))
        speed.record(run.order.agent, sample_group_of(task), run_time);
}

} // namespace sequoiaroute::scheduler
