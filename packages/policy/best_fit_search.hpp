#pragma once

#include "policy/worker_topology.hpp"

#include <optional>
#include <span>
#include <vector>

namespace sequoiaroute::policy {

/// Searches for the best fit for a job, like a buddy allocator: the narrowest
/// level with a group that fits all members, and of these groups the one with
/// the fewest free accelerators, so that whole workers and racks stay free.
/// Reuses its buffers; not safe for concurrent use.
class best_fit_search
{
public:
    using members = std::vector<std::size_t>; ///< worker index of each member

    explicit best_fit_search(worker_topology const& topology);

    /// @param job the job; only its shape and avoided workers are considered
    /// @param free the free resources of each worker
    /// @return the workers, or nothing unless all members fit
    std::optional<members> fit(job_view const& job,
                               std::span<resources const> free);

    /// @return whether the job fits if nothing runs; includes workers that
    ///         currently accept no work
    bool fits_idle_fleet(job_view const& job);

private:
    /// Searches with the current fitting_members_.
    std::optional<members> search(job_view const& job,
                                  std::span<resources const> free);
    std::optional<members> search_level(job_view const& job, adjacency level,
                                        std::span<resources const> free);
    std::optional<members>
    search_without_accelerators(job_view const& job,
                                std::span<resources const> free);
    /// Assigns the members to as few workers of a group as possible.
    members assign_members(job_view const& job,
                           worker_topology::group const& group) const;
    void count_fitting_members(job_view const& job,
                               std::span<resources const> free);
    /// Excludes the avoided workers of a job.
    /// @return whether this excluded any worker
    bool exclude_avoided(job_view const& job);

    worker_topology const& topology_;
    std::vector<int> fitting_members_; ///< by worker
};

} // namespace sequoiaroute::policy
