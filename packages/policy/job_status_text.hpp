#pragma once

#include "policy/job_record.hpp"

#include <string>
#include <string_view>

namespace sequoiaroute::policy {

/// Describes the state of a job for status output.
/// @param record the job
/// @param waiting_note what a queued job waits for, empty if unknown
/// @return the description; for a final state other than finished it ends with
///         the name of the result code in parentheses
std::string job_status_text(job_record const& record,
                            std::string_view waiting_note);

} // namespace sequoiaroute::policy
