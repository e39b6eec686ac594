#include "jobs/job_spec.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::jobs {

namespace {

core::error make_error(std::string message)
{
    return {core::result_code::bad_request, std::move(message)};
}

core::status check_step(step_spec const& step, std::size_t index)
{
    if (step.task_count < 1)
        return make_error(fmt::format("step {} has no tasks", index));
    if (step.task.millicores < 0 || step.task.memory_mb < 0 ||
        step.task.accelerators < 0)
        return make_error(
            fmt::format("step {} requests a negative amount", index));
    for (auto const predecessor : step.after) {
        if (predecessor < 0 || static_cast<std::size_t>(predecessor) >= index)
            return make_error(fmt::format(
                "step {} follows step {}, which is not an earlier one", index,
                predecessor));
    }
    return core::success();
}

} // namespace

core::status check_job(job_spec const& job)
{
    if (job.steps.empty() || job.steps.size() > max_steps)
        return make_error(fmt::format("a job has 1 to {} steps", max_steps));
    for (std::size_t index = 0; index < job.steps.size(); ++index)
        SEQUOIA_TRY(check_step(job.steps[index], index));
    if (task_count(job) > max_tasks)
        return make_error(fmt::format("a job has at most {} tasks", max_tasks));
    if (job.repeats < 0 || job.repeats > max_occurrences)
        return make_error(
            fmt::format("a job is repeated at most {} times", max_occurrences));
    if (job.payload.size() > max_payload_bytes)
        return make_error(fmt::format("the payload has more than {} bytes",
                                      max_payload_bytes));
    return core::success();
}

std::int64_t task_count(job_spec const& job)
{
    std::int64_t count = 0;
    for (auto const& step : job.steps)
        count += step.task_count;
    return count;
}

core::duration critical_path_time(job_spec const& job,
                                  std::span<core::duration const> step_times)
{
    std::vector<core::duration> end_times(job.steps.size(), core::duration(0));
    core::duration longest{0};
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        core::duration start{0};
        for (auto const predecessor : job.steps[index].after) {
            auto const position = static_cast<std::size_t>(predecessor);
            if (position < index)
                start = std::max(start, end_times[position]);
        }
        end_times[index] = start + step_times[index];
        longest = std::max(longest, end_times[index]);
    }
    return longest;
}

std::string to_text(task_id const& task)
{
    return fmt::format("{}.{}.{}.{}", task.job_id, task.occurrence, task.step,
                       task.index);
}

std::string to_text(run_id const& run)
{
    return fmt::format("{}/{}", to_text(run.task), run.run);
}

} // namespace sequoiaroute::jobs
