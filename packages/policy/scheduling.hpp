#pragma once

#include "core/clock.hpp"
#include "policy/rules.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sequoiaroute::policy {

/// An amount of processor cores, memory and accelerators.
struct resources
{
    int cores = 0;
    int memory_megabytes = 0;
    int accelerators = 0;

    bool operator==(resources const&) const = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(resources, cores, memory_megabytes,
                                   accelerators)
};

/// The decider's view of a worker.
struct worker_view
{
    std::string worker_id;
    std::string data_centre;
    std::string rack;
    resources total;
    /// Total minus the resources of tasks, of reservations and of stopped
    /// tasks whose end is not confirmed.
    resources free;
    bool accepts_work = true; ///< false if leaving, suspect or quarantined
};

/// The requirements of a job.
struct job_view
{
    std::string job_id;
    std::string customer;
    std::string kind; ///< kind of work; groups observed run times
    resources member; ///< needed by each member
    int members = 1;  ///< start together, as a gang
    adjacency within = adjacency::any;
    bool is_urgent = false;
    bool is_unrepeatable = false; ///< must not run twice; never evicted
    core::time_point submitted_at;
    core::time_point deadline; ///< time_point::max() if there is none
    core::duration declared_run_time{};
    /// Workers on which an attempt failed; used only if no others fit.
    std::vector<std::string> avoided_workers{};
};

/// A job that holds resources on workers.
struct running_job_view
{
    job_view job;
    std::vector<std::size_t> members; ///< worker index of each member
    core::time_point started_at;
    bool is_borrowing = false; ///< runs beyond its customer's guarantee
    bool is_stopping = false;  ///< a stop was requested
};

/// The input of a scheduling round. It refers to its data, which must outlive
/// it.
struct cluster_view
{
    std::span<worker_view const> workers;
    std::span<job_view const> pending;
    std::span<running_job_view const> running;
    rule_set const& rules;
};

/// Starts a job on the given workers.
struct placement
{
    std::string job_id;
    std::vector<std::size_t> members; ///< worker index of each member
    bool is_borrowing = false;        ///< runs beyond its customer's guarantee
};

/// Why a running job is evicted.
enum class eviction_reason
{
    guarantee_reclaimed, ///< a customer needs its guaranteed cells
    defragmentation,     ///< a gang needs adjacent accelerators
};

/// Stops a running job after a checkpoint and queues it again.
struct eviction
{
    std::string job_id;
    eviction_reason reason = eviction_reason::guarantee_reclaimed;
    std::string preemptor_job_id; ///< the job that needs the resources
};

/// Rejects a job that can never run on this fleet under these rules.
struct rejection
{
    std::string job_id;
    std::string reason; ///< human-readable
};

/// Describes what a queued job waits for, for status output.
struct waiting_note
{
    std::string job_id;
    std::string text; ///< such as "waiting for 4 adjacent accelerators; ..."
};

/// The outcome of one scheduling round.
struct decision
{
    std::vector<placement> placements;
    std::vector<eviction> evictions;
    std::vector<rejection> rejections;
    std::vector<waiting_note> notes;
};

/// Decides which jobs to start, evict and reject. An implementation may keep
/// statistics between rounds, such as observed run times, but no state that
/// correctness depends on, because a new decider starts with a new instance.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /// Runs one scheduling round.
    /// @param cluster the fleet, the queue and the rules
    /// @param now the current time
    /// @return the jobs to start, evict and reject
    virtual decision decide(cluster_view const& cluster,
                            core::time_point now) = 0;

    /// Records the run time of an attempt that ended.
    /// @param job the job
    /// @param run_time run time of the attempt
    /// @param has_succeeded whether the attempt finished its work
    virtual void observe_end(job_view const& job, core::duration run_time,
                             bool has_succeeded) = 0;
};

} // namespace sequoiaroute::policy
