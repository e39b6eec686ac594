#pragma once

#include "policy/fragmentation_sampler.hpp"
#include "policy/guarantee_monitor.hpp"
#include "policy/load.hpp"
#include "policy/measurements.hpp"
#include "policy/quarantine.hpp"

#include <queue>
#include <random>

#include <absl/container/flat_hash_map.h>

namespace sequoiaroute::benchmarks {

/// A discrete-event simulation of a cluster that runs a load under a placement
/// policy. Event times are rounded up to whole steps of the simulated clock,
/// and the policy decides once per step with events. Workers fail and recover;
/// a faulty worker stays available, but every attempt on it fails.
class cluster_simulation
{
public:
    /// Generates the arrivals and the faults.
    /// @param load the load, which must outlive this object
    /// @param seed the seed; the run is deterministic except for the decision
    ///        times
    /// @param policy the policy to measure, which must outlive this object
    cluster_simulation(load const& load, std::uint64_t seed,
                       policy::placement_policy& policy);

    /// Runs until all jobs but the services have ended, or until the limit for
    /// finishing after the last arrival. To be called once.
    measurements run();

private:
    enum class event_kind
    {
        arrival,
        end,          ///< an attempt has run for its time, or fails
        eviction_end, ///< the grace period of an eviction is over
        cancellation,
        worker_down,
        worker_up,
        worker_fault_begin, ///< attempts on the worker fail from now on
        worker_fault_end,
        tick, ///< only makes the policy decide
    };

    struct event
    {
        core::time_point at;
        event_kind kind;
        std::size_t index = 0; ///< of the job or worker; unused by tick
        int attempt = 0; ///< end and eviction_end: ignored in other attempts

        bool operator>(event const& other) const { return at > other.at; }
    };

    enum class job_state
    {
        waiting,
        running,
        ended,
    };

    struct job_status
    {
        job_state state = job_state::waiting;
        /// Run time that was left when the current attempt started.
        core::duration remaining_work{};
        int attempt = 0;
        bool will_fail = false; ///< the current attempt uses a faulty worker
        std::vector<std::string> failed_workers;
    };

    // Jobs and workers are identified by their index in arrivals_ and workers_.

    void schedule_faults(std::uint64_t seed);
    void handle_event(event const& event);
    /// Ends the current attempt of a job, which succeeds or fails.
    void end(std::size_t job);
    /// Reports the failure to the quarantine, and requeues the job or gives up.
    void fail_attempt(std::size_t job);
    /// Stops an evicted job with a checkpoint and requeues it.
    void complete_eviction(std::size_t job);
    void cancel_job(std::size_t job);
    /// Takes a worker down and requeues the jobs that ran on it.
    void fail_worker(std::size_t worker);
    /// Marks a job as ended and records its completion time and deadline.
    void finish_job(std::size_t job, bool has_succeeded);
    /// Runs one round of the policy, applies its decision and checks it.
    void decide();
    void apply(policy::placement const& placement);
    void apply(policy::eviction const& eviction);
    void requeue(std::size_t job);
    void remove_running(std::size_t job);
    void remove_pending(std::size_t job);
    /// Sets which workers accept work from failures and quarantines.
    void update_workers();
    policy::cluster_view view() const;
    std::size_t index_of(std::string const& job_id) const;
    /// @return the running job, or nullptr if it does not run
    policy::running_job_view* running_view(std::size_t job);

    load const& load_;
    policy::placement_policy& policy_;
    std::vector<arrival> arrivals_;
    std::vector<job_status> job_statuses_;
    std::vector<policy::worker_view> workers_;
    std::vector<bool> is_down_;
    std::vector<bool> is_faulty_;
    std::vector<policy::job_view> pending_;
    std::vector<policy::running_job_view> running_;
    absl::flat_hash_map<std::string, std::size_t> job_indices_; ///< by job id
    /// Index into running_ by job.
    absl::flat_hash_map<std::size_t, std::size_t> running_index_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    policy::quarantine quarantine_;
    guarantee_monitor monitor_;
    fragmentation_sampler sampler_;
    std::mt19937_64 random_engine_;
    measurements result_;
    core::time_point now_;
    core::time_point arrivals_end_;   ///< time of the last arrival
    std::size_t unfinished_jobs_ = 0; ///< without services
};

} // namespace sequoiaroute::benchmarks
