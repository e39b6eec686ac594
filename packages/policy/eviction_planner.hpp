#pragma once

#include "policy/worker_topology.hpp"

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace sequoiaroute::policy {

/// Chooses borrowing jobs to stop for a job that needs their room: those with
/// the fewest accelerator-seconds of lost work first, the newest first among
/// equals. Never a job that is not borrowing.
class eviction_planner
{
public:
    using filter = std::function<bool(running_job_view const&)>;
    using victims = std::vector<std::size_t>; ///< indices of running jobs

    eviction_planner(cluster_view const& cluster, core::time_point now);

    /// @return for each worker, the work that its borrowing jobs would lose
    std::vector<double> cost_by_worker() const;

    /// Adds the room of jobs that are being stopped.
    void add_stopping(std::vector<resources>& room) const;

    /// Adds the room of jobs that are being stopped or may be stopped.
    void add_evictable(std::vector<resources>& room,
                       filter const& is_allowed) const;

    /// Chooses jobs to stop so that a job fits.
    /// @param job the job that needs the room
    /// @param members the workers it needs the room on
    /// @param free the free resources of each worker
    /// @param is_allowed tells which jobs may be stopped
    /// @return the jobs to stop, nothing if stopping all is not enough
    std::optional<victims> plan(job_view const& job,
                                std::span<std::size_t const> members,
                                std::span<resources const> free,
                                filter const& is_allowed) const;

    /// Marks jobs as stopped in this round.
    void commit(victims const& chosen);

private:
    bool is_candidate(std::size_t index) const;
    double lost_work(running_job_view const& running) const;

    cluster_view const& cluster_;
    core::time_point now_;
    std::vector<std::size_t> borrowing_; ///< indices of borrowing jobs
    std::vector<bool> is_stopping_;      ///< by running job
    std::vector<resources> incoming_;    ///< from stopping jobs, by worker
};

} // namespace sequoiaroute::policy
