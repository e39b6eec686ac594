#pragma once

#include "policy/scheduling.hpp"

#include <string>

namespace sequoiaroute::policy {

/// Describes what a queued job waits for, for status output.
/// @param job the job
/// @param jobs_ahead number of waiting jobs that are considered before it
/// @return such as "waiting for 4 adjacent accelerators; two jobs are ahead"
std::string waiting_text(job_view const& job, int jobs_ahead);

} // namespace sequoiaroute::policy
