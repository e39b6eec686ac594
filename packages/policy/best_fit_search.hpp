#pragma once

#include "policy/worker_topology.hpp"

#include <optional>
#include <span>
#include <vector>

namespace sequoiaroute::policy {

/// Finds the tightest room for a job in the manner of a buddy allocator: the
/// lowest level of the hierarchy that holds all members, there the cell with
/// the least room left over, so that whole workers and racks stay free.
class best_fit_search
{
public:
    using members = std::vector<std::size_t>;

    explicit best_fit_search(worker_topology const& tree);

    /// @param job the job; only its shape is looked at
    /// @param free the free resources of each worker
    /// @return one worker index per member, or nothing unless all fit
    std::optional<members> fit(job_view const& job,
                               std::span<resources const> free);

    /// Also looks at workers that take no work now.
    bool fits_idle_fleet(job_view const& job);

private:
    std::optional<members> fit_counted(job_view const& job,
                                       std::span<resources const> free);
    std::optional<members> fit_level(job_view const& job, adjacency level,
                                     std::span<resources const> free);
    std::optional<members> fit_processors(job_view const& job,
                                          std::span<resources const> free);
    members fill(job_view const& job,
                 worker_topology::group const& group) const;
    void count(job_view const& job, std::span<resources const> free);
    bool exclude_avoided(job_view const& job);

    worker_topology const& tree_;
    std::vector<int> counts_; ///< members that fit, by worker
};

} // namespace sequoiaroute::policy
