#pragma once

#include "core/result.hpp"
#include "policy/job_record.hpp"

namespace sequoiaroute::decider {

/// Validates the fields of a submission.
/// @param submission the submission
/// @param members_limit the largest allowed number of members
/// @return ok, or bad_request with a message that names the invalid field
core::status check_submission(policy::job_submission const& submission,
                              int members_limit);

/// Makes the record of a new job, submitted at the current wall-clock time.
/// @param submission a valid submission
/// @return the record in the state queued, with the submission's digest
policy::job_record record_from(policy::job_submission const& submission);

/// @return the fields of a submission that decide whether it fits the fleet
policy::job_view view_of(policy::job_submission const& submission);

} // namespace sequoiaroute::decider
