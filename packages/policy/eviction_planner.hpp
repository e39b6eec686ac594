#pragma once

#include "policy/worker_topology.hpp"

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace sequoiaroute::policy {

/// Selects borrowing jobs to evict for a job that needs their resources: those
/// with the least lost work in accelerator-seconds first, the most recently
/// started first among equals. Only borrowing jobs are evicted.
class eviction_planner
{
public:
    using filter = std::function<bool(running_job_view const&)>;
    using victims = std::vector<std::size_t>; ///< indices of running jobs

    eviction_planner(cluster_view const& cluster, core::time_point now);

    /// @return the work that is lost if the borrowing jobs of a worker are
    ///         stopped, by worker, in accelerator-seconds
    std::vector<double> eviction_cost_by_worker() const;

    /// Adds the resources of jobs that are being stopped.
    void add_stopping(std::vector<resources>& available) const;

    /// Adds the resources of jobs that are being stopped or may be evicted.
    void add_evictable(std::vector<resources>& available,
                       filter const& is_allowed) const;

    /// Selects jobs to evict so that a job fits on the given workers.
    /// @param job the job that needs the resources
    /// @param members the worker of each of its members
    /// @param free the free resources of each worker
    /// @param is_allowed whether a running job may be evicted
    /// @return the jobs to evict, possibly an empty list, or nothing if
    ///         evicting all allowed jobs is not enough
    std::optional<victims> plan(job_view const& job,
                                std::span<std::size_t const> members,
                                std::span<resources const> free,
                                filter const& is_allowed) const;

    /// Marks jobs as stopping in this round.
    void mark_stopping(victims const& chosen);

private:
    /// @return whether a borrowing job can be evicted
    bool is_candidate(std::size_t index) const;
    /// @return the work since the job started, in accelerator-seconds; a core
    ///         counts as a fraction of an accelerator
    double lost_work(running_job_view const& running) const;

    cluster_view const& cluster_;
    core::time_point now_;
    std::vector<std::size_t> borrowing_jobs_; ///< indices of borrowing jobs
    std::vector<bool> is_stopping_;           ///< by running job
    std::vector<resources> releasing_;        ///< by stopping jobs, by worker
};

} // namespace sequoiaroute::policy
