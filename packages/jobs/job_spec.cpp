#include "jobs/job_spec.hpp"

#include <fmt/format.h>

namespace sequoiaroute::jobs {

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
