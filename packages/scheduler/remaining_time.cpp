#include "scheduler/remaining_time.hpp"

#include "scheduler/job_tasks.hpp"

#include <algorithm>

namespace sequoiaroute::scheduler {

namespace {

/// Progress below this, in percent, is too little to extrapolate from.
constexpr std::int32_t min_rate_advance_percent = 5;

/// @return the remaining time by the progress, which is as old as the report
///         that listed it
core::duration extrapolate(assignment const& run, std::int32_t advance,
                           core::time_point now)
{
    auto const observed_time = run.last_seen_at - *run.first_seen_at;
    auto const remaining_then = observed_time * (100 - run.percent) / advance;
    return remaining_then - (now - run.last_seen_at);
}

} // namespace

core::duration expected_remaining_time(open_job const& job,
                                       assignment const& run,
                                       run_time_estimator const& run_times,
                                       core::time_point now)
{
    auto const& step = step_of(job, run.order.run.task);
    if (step.is_long_running)
        return unknown_remaining_time;
    auto const advance = run.percent - run.first_seen_percent;
    if (run.first_seen_at && advance >= min_rate_advance_percent)
        return extrapolate(run, advance, now);
    auto const expected =
        core::scaled(run_times.expected_run_time(
                         job.submission.parameters.queue, step.estimate),
                     run.run_time_factor);
    auto const remaining = expected * (100 - run.percent) / 100;
    auto const elapsed = now - run.first_seen_at.value_or(now);
    return elapsed > remaining ? elapsed : remaining - elapsed;
}

} // namespace sequoiaroute::scheduler
