#pragma once

#include "policy/best_fit_search.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace sequoiaroute::policy {

/// Resources reserved for a waiting gang from a start time on.
class gang_reservation
{
public:
    /// Returns the expected remaining run time of a running job.
    using remaining_time =
        std::function<core::duration(running_job_view const&)>;

    /// Reserves resources from the earliest time at which the gang is expected
    /// to fit.
    /// @param gang the gang
    /// @param cluster the fleet and the running jobs
    /// @param topology the topology of the fleet
    /// @param free the free resources of each worker
    /// @param now the current time
    /// @param remaining the expected remaining run time of a running job
    /// @return the reservation, or nothing if the gang does not fit even after
    ///         all running jobs have ended
    static std::optional<gang_reservation>
    create(job_view const& gang, cluster_view const& cluster,
           worker_topology const& topology, std::span<resources const> free,
           core::time_point now, remaining_time const& remaining);

    /// @return when the gang is expected to start
    core::time_point start() const { return start_; }

    /// Limits free resources to those that jobs may use which run past the
    /// start of the reservation.
    /// @param free the free resources of each worker; reduced in place
    void limit(std::vector<resources>& free) const;

    /// Deducts the resources of a placed job that runs past the start.
    void charge(std::size_t worker, resources const& amount);

private:
    gang_reservation(core::time_point start, std::vector<resources> spare)
        : start_(start), spare_(std::move(spare))
    {
    }

    core::time_point start_;
    std::vector<resources> spare_; ///< not needed by the gang, by worker
};

} // namespace sequoiaroute::policy
