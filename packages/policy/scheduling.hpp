#pragma once

#include "core/clock.hpp"
#include "policy/rules.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sequoiaroute::policy {

/// Processors, memory and accelerators.
struct resources
{
    int cores = 0;
    int memory_megabytes = 0;
    int accelerators = 0;

    bool operator==(resources const&) const = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(resources, cores, memory_megabytes,
                                   accelerators)
};

/// A worker as the decider believes it to be.
struct worker_view
{
    std::string worker_id;
    std::string data_centre;
    std::string rack;
    resources total;
    resources free; ///< total less tasks, reservations and unconfirmed stops
    bool accepts_work = true; ///< false if leaving, suspect or quarantined
};

/// What a job asks for.
struct job_view
{
    std::string job_id;
    std::string customer;
    std::string kind; ///< name of the kind of work, for observed run times
    resources member;
    int members = 1;
    adjacency within = adjacency::any;
    bool is_urgent = false;
    bool is_unrepeatable = false;
    core::time_point submitted_at;
    core::time_point deadline; ///< time_point::max() if there is none
    core::duration declared_run_time{};
    /// Workers on which an attempt failed; others are preferred.
    std::vector<std::string> avoided_workers{};
};

/// A job that holds resources.
struct running_job_view
{
    job_view job;
    std::vector<std::size_t> members; ///< index of the worker of each member
    core::time_point started_at;
    bool is_borrowing = false; ///< runs beyond its customer's guarantee
    bool is_stopping = false;  ///< already asked to stop
};

/// Everything that a placement decision may look at.
struct cluster_view
{
    std::span<worker_view const> workers;
    std::span<job_view const> pending;
    std::span<running_job_view const> running;
    rule_set const& rules;
};

/// Starts a job on the given workers, one index per member.
struct placement
{
    std::string job_id;
    std::vector<std::size_t> members;
    bool is_borrowing = false;
};

/// Why a running job is asked to stop.
enum class eviction_reason
{
    guarantee_reclaimed,
    defragmentation,
};

/// Asks a running job to write a checkpoint and stop; it is queued again.
struct eviction
{
    std::string job_id;
    eviction_reason reason = eviction_reason::guarantee_reclaimed;
    std::string preemptor_job_id; ///< the job that needs the room
};

/// A job that can never run on this fleet under these rules.
struct rejection
{
    std::string job_id;
    std::string reason; ///< a sentence for a person
};

/// The state of a waiting job in words, for status output.
struct waiting_note
{
    std::string job_id;
    std::string text; ///< "waiting for 4 adjacent accelerators; ..."
};

/// The outcome of one scheduling round.
struct decision
{
    std::vector<placement> placements;
    std::vector<eviction> evictions;
    std::vector<rejection> rejections;
    std::vector<waiting_note> notes;
};

/// Decides placements. An implementation may keep statistics between rounds,
/// such as observed run times, but no state on which correctness depends: a
/// new decider starts with an empty one.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /// Runs one scheduling round.
    /// @param cluster the fleet, the queue and the rules
    /// @param now the current time
    /// @return what to start, to stop and to reject
    virtual decision decide(cluster_view const& cluster,
                            core::time_point now) = 0;

    /// Learns from a job that ended.
    /// @param job the job
    /// @param run_time the time that its attempt ran
    /// @param has_succeeded whether the attempt finished its work
    virtual void observe_end(job_view const& job, core::duration run_time,
                             bool has_succeeded) = 0;
};

} // namespace sequoiaroute::policy
