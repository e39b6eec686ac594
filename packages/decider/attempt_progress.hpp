#pragma once

#include "decider/open_job.hpp"
#include "peers/messages.hpp"

/// What the decider knows of the members of an attempt.
namespace sequoiaroute::decider {

/// @return whether every member is known to have ended
bool have_all_ended(job_data const& data);

/// @return whether every member has ended with its output
bool have_all_finished(job_data const& data);

/// @return whether every member's room is reserved
bool have_all_reserved(job_data const& data);

/// @return the record with the latest checkpoint of each member
policy::job_record with_checkpoints(job_data const& data);

/// Notes what an agent tells of a member. A report about another attempt or
/// from another worker is ignored; the first end of a member counts.
void handle_report(job_data& data, peers::member_report const& report);

} // namespace sequoiaroute::decider
