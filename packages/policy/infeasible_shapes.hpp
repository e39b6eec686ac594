#pragma once

#include "policy/scheduling.hpp"

#include <vector>

namespace sequoiaroute::policy {

/// The free resources that a job may use. Jobs of the same pool may use the
/// same resources.
enum class capacity_pool
{
    /// For borrowing jobs that may still run when the reservation starts.
    borrowable_past_reservation,
    /// For other borrowing jobs: those that end before the reservation starts
    /// and urgent ones, or all if there is no reservation.
    borrowable_until_reservation,
    /// For unrepeatable jobs, which cannot borrow guaranteed cells.
    unguaranteed,
    /// For jobs within their customer's guarantee.
    guaranteed,
};

/// The shapes of jobs that did not fit in a round. Free resources only shrink
/// within a round, so an infeasible shape excludes all shapes that need at
/// least as much. A long queue then costs one search per distinct shape.
class infeasible_shapes
{
public:
    /// @param job the job; only its shape is considered
    /// @param pool the resources that the job may use
    /// @param customer index of the customer whose guarantee is used, 0 for
    ///        the other pools
    /// @return whether the job is known not to fit
    bool excludes(job_view const& job, capacity_pool pool,
                  std::size_t customer = 0) const;

    /// Records that a job did not fit; the parameters are those of excludes().
    void record(job_view const& job, capacity_pool pool,
                std::size_t customer = 0);

private:
    struct shape
    {
        capacity_pool pool;
        std::size_t customer;
        resources member;
        int members;
        adjacency within;
    };

    std::vector<shape> shapes_;
};

} // namespace sequoiaroute::policy
