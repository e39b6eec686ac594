#pragma once

#include "policy/best_fit_search.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace sequoiaroute::policy {

/// Room that is kept for a waiting gang from a time on.
class gang_reservation
{
public:
    /// Tells how much longer a running job is expected to run.
    using remaining_time =
        std::function<core::duration(running_job_view const&)>;

    /// Finds the earliest time at which a gang is expected to fit.
    /// @param gang the gang
    /// @param cluster the fleet and the running jobs
    /// @param tree the cells of the fleet
    /// @param free the free resources of each worker
    /// @param now the current time
    /// @param remaining the expected remaining run times
    /// @return the reservation, nothing if the gang does not fit even when
    ///         all running jobs have ended
    static std::optional<gang_reservation>
    create(job_view const& gang, cluster_view const& cluster,
           worker_topology const& tree, std::span<resources const> free,
           core::time_point now, remaining_time const& remaining);

    /// @return when the gang is expected to start
    core::time_point start() const { return start_; }

    /// Lowers free resources to what a job may charge that runs beyond the
    /// start.
    /// @param free the free resources of each worker, to be lowered
    void limit(std::vector<resources>& free) const;

    /// Records that a job which runs beyond the start was placed.
    void charge(std::size_t worker, resources const& amount);

private:
    gang_reservation(core::time_point start, std::vector<resources> extra)
        : start_(start), extra_(std::move(extra))
    {
    }

    core::time_point start_;
    std::vector<resources> extra_; ///< left by the gang at its start
};

} // namespace sequoiaroute::policy
