#pragma once

#include "decider/open_job.hpp"
#include "policy/quarantine.hpp"
#include "policy/scheduling.hpp"
#include "targets/target_directory.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sequoiaroute::decider {

/// The fleet and the open jobs at the start of a scheduling round. Owns the
/// data that a policy::cluster_view refers to.
struct fleet_snapshot
{
    std::vector<policy::worker_view> workers;
    std::vector<policy::placed_member> agents; ///< of workers, same indexes
    std::vector<policy::job_view> pending;     ///< jobs to place, oldest first
    std::vector<policy::running_job_view> running; ///< holding resources
};

/// @param data an open job
/// @return the job as a placement policy sees it
policy::job_view view_of(job_data const& data);

/// Tracks the resources in use on each worker, and the workers that receive no
/// work because they refused a reservation or are quarantined. Thread-safe.
class fleet_state
{
public:
    /// How long a worker that refused a reservation receives no work, so that
    /// the next rounds try others.
    static constexpr core::duration refusal_period = std::chrono::seconds(2);
    /// How long the resources of an unconfirmed release count as in use. Agents
    /// drop a reservation that was not started after 10 s.
    static constexpr core::duration unconfirmed_release_lifetime =
        std::chrono::seconds(12);

    explicit fleet_state(core::clock const& clock) : clock_(clock) {}

    /// Ignores the resource usage that the worker's agent reports until a
    /// report certainly includes a change that the decider has just made.
    void record_usage_change(std::string const& worker_id);
    /// Excludes a worker from placement for the refusal period.
    void record_refusal(std::string const& worker_id);
    /// Counts a reservation as in use although its release was sent, because
    /// the agent has not confirmed it.
    /// @param worker_id the worker with the reservation
    /// @param reserved the resources of the reservation
    void record_unconfirmed_release(std::string const& worker_id,
                                    policy::resources const& reserved);
    /// Counts a failed attempt as evidence for a quarantine.
    /// @param record the job that failed
    /// @param worker_id the worker on which a member failed
    /// @param fleet_size number of known workers, which limits the quarantine
    void record_failure(policy::job_record const& record,
                        std::string const& worker_id, std::size_t fleet_size);
    /// Clears the quarantine evidence against a worker.
    void record_success(std::string const& worker_id);
    /// Drops the quarantine evidence from a job that fails on every worker.
    void discard_failures_of_job(std::string const& job_id);

    /// Builds the input of a scheduling round.
    /// @param targets the known workers
    /// @param jobs the open jobs
    /// @return the workers with their free resources, the jobs to place in the
    ///         order of submission, and the jobs that hold resources
    fleet_snapshot
    build_snapshot(std::vector<targets::known_target> const& targets,
                   std::vector<job_data> const& jobs);

    /// @return the ids of the quarantined workers
    std::vector<std::string> quarantined() const;

    /// Drops all state except the quarantine, for a new term.
    void clear();

private:
    struct unconfirmed_release
    {
        std::string worker_id;
        policy::resources reserved;
        core::time_point until;
    };

    /// A usage change that the worker's reports may not include yet.
    struct usage_change
    {
        bool awaits_report = true;  ///< no report was seen since the change
        std::string incarnation;    ///< of the first report seen
        std::uint64_t sequence = 0; ///< of the first report seen
    };

    // The caller of these functions holds the mutex.

    /// @param used the resources that this decider has in use on the worker
    void add_worker(fleet_snapshot& snapshot,
                    targets::known_target const& target,
                    policy::resources const& used);
    /// @return whether the reported usage includes every recorded usage change
    bool is_report_current(peers::target_report const& report);
    /// @return the resources in use by worker id, unconfirmed releases included
    std::map<std::string, policy::resources>
    usage_by_worker(std::vector<job_data> const& jobs);

    core::clock const& clock_;
    mutable std::mutex mutex_;
    std::map<std::string, usage_change> usage_changes_;     ///< by worker id
    std::map<std::string, core::time_point> refused_until_; ///< by worker id
    std::vector<unconfirmed_release> unconfirmed_releases_;
    policy::quarantine quarantine_;
};

} // namespace sequoiaroute::decider
