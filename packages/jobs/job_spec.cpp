#include "jobs/job_spec.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::jobs {

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
