#pragma once

#include "policy/guarantee_check.hpp"
#include "policy/scheduling.hpp"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace sequoiaroute::policy {

/// Simulates a fleet and its queue. Applies the decisions of a policy and fails
/// the test if a decision is invalid. Time advances in steps of one minute; an
/// evicted job releases its resources and is queued again one step later.
class cluster_simulator
{
public:
    using engine = std::mt19937_64;

    /// Adds an idle worker; ids are w0, w1 and so on.
    void add_worker(std::string rack, std::string data_centre, resources total);
    /// Adds a guaranteed shape to the rules of a customer.
    void guarantee(std::string const& customer, guaranteed_shape shape);
    /// Queues a job; ids are j0, j1 and so on.
    /// @param run_time how long the job runs, over all attempts
    /// @return the pending job, valid until the queue changes
    job_view& submit(std::string customer, int members, resources member,
                     adjacency within, core::duration run_time);

    /// Advances time by one step, ends the jobs that are due, runs one round of
    /// the policy, then checks and applies its decision.
    void step(placement_policy& policy);

    bool is_pending(std::string const& job_id) const;
    bool is_running(std::string const& job_id) const;
    core::time_point now() const { return now_; }
    cluster_view view() const { return {workers, pending, running, rules}; }

    std::vector<worker_view> workers;
    std::vector<job_view> pending;
    std::vector<running_job_view> running;
    rule_set rules;
    decision last_decision;
    int evictions = 0; ///< over all steps

private:
    void apply(placement const& placement);
    void apply(eviction const& eviction);
    void release(running_job_view const& job);

    core::time_point now_{std::chrono::hours(1)};
    std::map<std::string, core::duration> remaining_run_times_;
    int submitted_jobs_ = 0;
};

} // namespace sequoiaroute::policy
