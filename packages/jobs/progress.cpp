#include "jobs/progress.hpp"

namespace sequoiaroute::jobs {

std::string_view name(job_state state)
{
    switch (state) {
    case job_state::queued:
        return "queued";
    case job_state::running:
        return "running";
    case job_state::completed:
        return "completed";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    }
    return "queued";
}

} // namespace sequoiaroute::jobs
