#pragma once

#include "core/counters.hpp"
#include "decider/attempt_recorder.hpp"
#include "decider/decider_lease.hpp"
#include "decider/fleet_state.hpp"
#include "decider/gang_coordinator.hpp"
#include "decider/job_registry.hpp"
#include "decider/task_runner.hpp"
#include "policy/rules_provider.hpp"
#include "policy/scheduling.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace sequoiaroute::decider {

/// The dependencies of a decider_loop. All must outlive it.
struct decider_dependencies
{
    platform::object_store& objects;
    peers::link_pool& links;
    targets::target_directory& directory;
    policy::rules_provider& rules;
    policy::placement_policy& placement;
    core::clock const& clock;
    core::counters& counters;
    task_runner& placement_runner;   ///< runs reservations of placed jobs
    task_runner& maintenance_runner; ///< runs all other blocking job steps
};

/// The scheduling loop of the decider: tracks the open jobs, asks the policy
/// for placements, evictions and rejections, and drives each job through its
/// states. Idle while this entry is a follower; while the lease is suspended it
/// only continues to stop attempts. All functions but tick() are thread-safe.
class decider_loop final
{
public:
    /// The longest time between two scheduling rounds.
    static constexpr core::duration round_period =
        std::chrono::milliseconds(200);
    /// How often all job rows are read, to find changes whose notification was
    /// lost.
    static constexpr core::duration scan_period = std::chrono::seconds(30);
    /// How often running jobs are checked for members on lost workers.
    static constexpr core::duration loss_check_period = std::chrono::seconds(1);
    /// How long every round must find that a job cannot run before the job is
    /// rejected. A decider that has just started, or that is partitioned from a
    /// data centre, sees only part of the fleet.
    static constexpr core::duration rejection_delay = std::chrono::seconds(60);

    /// @param rows writes job rows; must outlive this object
    /// @param lease the lease of this entry; must outlive this object
    /// @param dependencies the other objects that the loop uses
    decider_loop(platform::recovering_writer& rows, decider_lease& lease,
                 decider_dependencies const& dependencies);

    /// Runs a scheduling round if one is due or requested. Reads the table in
    /// some rounds. Calls must not overlap.
    void tick();

    /// Makes the next tick run a round, whatever the round period.
    void wake() { is_round_requested_ = true; }

    /// Applies an agent's report about a member. Advances the job at once
    /// unless another thread is doing so.
    /// @return ok if the agent may discard the report; still_running, not_ready
    ///         or store_unavailable if it must send the report again
    core::result_code handle_report(peers::member_report const& report);

    /// Handles a notification that an entry has changed a job's row: an
    /// untracked job is read from the table, a tracked one before its next
    /// step.
    /// @param job_id the job; empty if several have changed, which requests a
    ///        scan of all rows
    /// @return ok; not_ready if this entry is not the decider; an error of the
    ///         table if the row cannot be read
    core::status handle_change(std::string_view job_id);

    /// @return what the job waited for in the last round, for status output;
    ///         empty if unknown
    std::string note(std::string_view job_id) const;

    /// @return the open jobs and the quarantined workers, for operators
    core::json dump() const;

private:
    bool is_round_due();
    /// Recovers the open jobs in a new term, and drops them once the lease is
    /// lost.
    /// @return whether jobs may be placed
    bool sync_with_lease();
    /// Reads all open jobs from the table.
    /// @param is_recovery whether the attempts were begun by another decider
    /// @param term the term of this decider
    /// @return whether the table could be read
    bool scan(bool is_recovery, std::uint64_t term);
    /// Posts each job that needs a step other than placement.
    void maintain_jobs();
    /// Asks the policy for a decision and applies it.
    void place_jobs();
    /// Applies a whole decision, and replaces the waiting notes.
    void apply(fleet_snapshot const& snapshot,
               policy::decision const& decision);
    /// Plans the placement of a job that is still queued, and posts it.
    void apply(fleet_snapshot const& snapshot,
               policy::placement const& placement);
    /// Marks a running job for eviction and posts it; an unrepeatable job is
    /// never evicted.
    void apply(policy::eviction const& eviction);
    /// @param owner_id the job on whose behalf another one is evicted
    /// @return the time that the evicted job gets to write its checkpoint
    core::duration eviction_grace_for(std::string_view owner_id);
    /// Rejects the jobs for which the rejection delay has passed, and adds a
    /// waiting note for each rejection.
    void apply(std::vector<policy::rejection> const& rejections,
               std::map<std::string, std::string, std::less<>>& notes);
    /// Posts a step of the job unless one is already waiting to run.
    void post(task_runner& runner, job_registry::job_pointer const& job);
    /// Takes the next steps of a job; the caller holds its operation mutex.
    void advance(job_registry::job_pointer const& job);
    /// Handles a report about a job that is not in the registry.
    core::result_code
    handle_untracked_job_report(peers::member_report const& report);

    decider_lease& lease_;
    decider_dependencies dependencies_;
    job_store store_;
    fleet_state fleet_;
    attempt_recorder recorder_;
    member_command_sender command_sender_;
    gang_coordinator coordinator_;
    job_registry registry_;
    mutable std::mutex notes_mutex_;
    std::map<std::string, std::string, std::less<>> notes_; ///< by job id
    /// By job id; holds the jobs that the policy rejected in the last round.
    std::map<std::string, core::time_point> first_rejected_at_;
    std::atomic<bool> is_round_requested_{false};
    std::atomic<bool> is_scan_requested_{false};
    /// The term for which the open jobs were read; 0 while a follower.
    std::atomic<std::uint64_t> recovered_term_{0};
    core::time_point last_round_;
    core::time_point last_scan_;
    core::time_point last_loss_check_;
};

} // namespace sequoiaroute::decider
