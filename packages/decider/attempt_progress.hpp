#pragma once

#include "decider/open_job.hpp"
#include "peers/messages.hpp"

/// Functions on the state of an attempt's members in the decider's memory.
namespace sequoiaroute::decider {

/// @return whether every member is known to have ended; true without members
bool have_all_ended(job_data const& data);

/// @return whether every member has finished its work and there is at least one
bool have_all_finished(job_data const& data);

/// @return whether every member has a reservation and there is at least one
bool have_all_reserved(job_data const& data);

/// @return the job's record with the latest checkpoint of each member
policy::job_record record_with_checkpoints(job_data const& data);

/// Applies an agent's report to the member's state. A report about another
/// attempt or from another worker is ignored. The first reported end of a
/// member is kept, but finished replaces stopped.
void apply_report(job_data& data, peers::member_report const& report);

} // namespace sequoiaroute::decider
