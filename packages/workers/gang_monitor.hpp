#pragma once

#include "core/clock.hpp"
#include "peers/messages.hpp"
#include "workers/task_supervisor.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace sequoiaroute::workers {

/// Monitors the gangs whose lead, which is member 0, is at this agent. Stops a
/// gang as soon as one of its members fails or sends no beat within the silence
/// limit (docs/design.md, section 3.7). A gang is stopped by stopping its lead
/// here and answering must_stop to the beats of the other members. Thread-safe.
class gang_monitor
{
public:
    /// @param clock the time source
    /// @param supervisor supervises the tasks of this agent
    /// @param silence_limit a member without a beat for this long counts as
    ///        failed
    gang_monitor(core::clock const& clock, task_supervisor& supervisor,
                 core::duration silence_limit)
        : clock_(clock), supervisor_(supervisor), silence_limit_(silence_limit)
    {
    }

    /// Records the beat of a member, and stops the gang if the beat reports
    /// that the member failed or was stopped.
    /// @param beat the beat
    /// @return whether the member must stop
    peers::gang_beat_answer handle_beat(peers::gang_beat const& beat);

    /// Reads the state of the leads from the supervisor, stops gangs with
    /// silent members and removes ended gangs. Must be called several times per
    /// silence limit.
    void tick();

private:
    struct gang
    {
        /// First beat of a member, or start of the lead if that was earlier.
        core::time_point first_seen_at;
        bool lead_has_started = false;
        bool lead_has_finished = false; ///< successfully
        bool must_stop = false;
        core::time_point stopped_at; ///< set with must_stop
        int member_count = 0;        ///< set when the lead has started
        std::map<int, core::time_point> last_beat_at; ///< by member
        std::set<int> finished_members;               ///< without the lead
    };

    /// Job id and attempt.
    using gang_key = std::pair<std::string, std::uint64_t>;

    // The private functions need mutex_ to be held.

    gang& find_or_add(gang_key const& key);
    /// Updates a gang from the record of its lead.
    void update_from_lead(member_record const& lead);
    /// Stops a gang if a member is silent, or if its lead has not started
    /// within the silence limit.
    void stop_if_silent(gang_key const& key, gang& gang);
    void stop_gang(gang_key const& key, gang& gang, std::string const& reason);
    /// @return true if no further beat of the gang needs to be answered
    bool can_be_removed(gang const& gang) const;

    core::clock const& clock_;
    task_supervisor& supervisor_;
    core::duration silence_limit_;
    std::mutex mutex_;
    std::map<gang_key, gang> gangs_;
};

} // namespace sequoiaroute::workers
