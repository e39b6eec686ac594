#pragma once

#include "decider/attempt_observer.hpp"
#include "decider/job_store.hpp"
#include "decider/job_writer.hpp"
#include "decider/member_command_sender.hpp"
#include "decider/open_job.hpp"
#include "platform/object_store.hpp"

namespace sequoiaroute::decider {

/// Drives jobs through their states as gangs: reserves all members, commits the
/// attempt, starts the members, stops them and writes the end (docs/design.md,
/// sections 3.7 and 3.12). The caller holds the job's operation mutex.
class gang_coordinator
{
public:
    /// The greatest age at which a reservation may still be committed. Agents
    /// drop a reservation that was not started after 10 s.
    static constexpr core::duration reservation_validity =
        std::chrono::seconds(8);
    /// How long after its last sending a start or stop command is sent again.
    static constexpr core::duration retry_period = std::chrono::seconds(1);
    /// The same for a stop command that was not answered; longer, because each
    /// call to an unresponsive agent blocks a thread for a second.
    static constexpr core::duration unresponsive_retry_period =
        std::chrono::seconds(3);

    /// @param store reads and writes job rows
    /// @param objects where results are stored
    /// @param command_sender sends commands to agents
    /// @param directory the known workers, and which of them are lost
    /// @param lease the lease of this entry
    /// @param clock the clock of this process
    /// @param observer is notified of the events of attempts
    gang_coordinator(job_store& store, platform::object_store& objects,
                     member_command_sender& command_sender,
                     targets::target_directory& directory, decider_lease& lease,
                     core::clock const& clock, attempt_observer& observer);

    /// Takes all steps that a job needs now; may block on the table, the object
    /// store and agents. Does nothing for a job of another term. While the
    /// lease is suspended, only sends stop commands.
    void advance(open_job& job);

private:
    // Each step returns whether the job changed, so that another step may be
    // needed.
    bool step(open_job& job);
    bool step_queued(open_job& job);
    bool step_reserving(open_job& job);
    bool step_running(open_job& job);
    bool step_stopping(open_job& job);

    /// @return whether all members are reserved
    bool reserve_members(open_job& job);
    void release_members(policy::job_record const& record, std::uint64_t term);
    /// Sends start to the members that have not confirmed it.
    /// @return whether a member has ended or its agent has restarted
    bool start_members(open_job& job);
    void apply_start_answer(open_job& job, member_answer const& answer);
    /// Sends stop to the members that have not ended.
    /// @return whether all members have ended
    bool stop_members(open_job& job);
    void apply_stop_answer(open_job& job, member_answer const& answer);
    /// Updates the members whose worker or agent incarnation is lost.
    void mark_lost_members(open_job& job);
    /// Stores the outputs as the job's result and writes the end of the job.
    bool finish(open_job& job);
    /// Begins to stop a gang in which a member failed or ended early.
    bool stop_if_member_ended(open_job& job);

    job_writer writer_;
    platform::object_store& objects_;
    member_command_sender& command_sender_;
    targets::target_directory& directory_;
    decider_lease& lease_;
    core::clock const& clock_;
    attempt_observer& observer_;
};

} // namespace sequoiaroute::decider
