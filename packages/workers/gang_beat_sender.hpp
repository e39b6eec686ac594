#pragma once

#include "core/clock.hpp"
#include "peers/link.hpp"
#include "workers/member_record.hpp"
#include "workers/task_supervisor.hpp"

#include <map>
#include <mutex>
#include <vector>

namespace sequoiaroute::workers {

/// Time limits of a gang_beat_sender.
struct gang_beat_options
{
    core::duration call_limit{900}; ///< timeout of one beat
    /// A member is stopped if its lead has not answered for this long.
    core::duration silence_limit{3000};
};

/// Sends beats (heartbeats) for the gang members at this agent to the agents of
/// their leads. The lead of a gang is its member 0. Stops a member whose lead
/// does not answer or answers that it must stop (docs/design.md, section 3.7).
/// The gang_monitor of the lead's agent receives the beats. Thread-safe.
class gang_beat_sender
{
public:
    /// @param options the time limits
    /// @param clock the time source
    /// @param supervisor supervises the tasks of this agent
    /// @param links the links to the agents of the leads
    gang_beat_sender(gang_beat_options options, core::clock const& clock,
                     task_supervisor& supervisor, peers::link_pool& links)
        : options_(options), clock_(clock), supervisor_(supervisor),
          links_(links)
    {
    }

    /// Sends one beat for each member and waits for the answers. The calls run
    /// concurrently, so that a lead that is down does not delay other gangs.
    /// Must be called once per gang beat period, which is 1 s by default.
    void send_beats();

    /// Stops the members whose lead has not answered within the silence limit.
    /// Separate from send_beats(), which may be blocked in calls.
    void stop_members_of_silent_leads();

private:
    struct lead_contact
    {
        core::time_point answered_at; ///< send time of the last answered beat
        /// The lead has answered a beat that reported the end of the member.
        bool is_end_acknowledged = false;
    };

    /// Updates lead_contacts_ from the supervisor.
    /// @return the members for which a beat must be sent
    std::vector<member_record> select_members();
    void send_beat(member_record const& record);
    void handle_answer(member_record const& record, core::time_point sent_at,
                       bool must_stop);

    gang_beat_options options_;
    core::clock const& clock_;
    task_supervisor& supervisor_;
    peers::link_pool& links_;
    std::mutex mutex_;
    std::map<member_key, lead_contact> lead_contacts_; ///< by sending member
};

} // namespace sequoiaroute::workers
