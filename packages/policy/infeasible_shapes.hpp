#pragma once

#include "policy/scheduling.hpp"

#include <vector>

namespace sequoiaroute::policy {

/// The room on which a job is tried. Jobs of one pool are tried on the same
/// room.
enum class capacity_pool
{
    borrowable_past_reservation,
    borrowable_until_reservation,
    unguaranteed,
    guaranteed,
};

/// Shapes that did not fit in a round. Room only shrinks within a round, so a
/// shape that failed excludes all that need at least as much; a long queue
/// then costs one search for each distinct shape.
class infeasible_shapes
{
public:
    /// @param job the job whose shape is looked at
    /// @param tried the room it is tried on
    /// @param customer the customer whose guarantee it is tried on, else 0
    /// @return whether it cannot fit
    bool excludes(job_view const& job, capacity_pool tried,
                  std::size_t customer = 0) const;

    /// Records that a job did not fit.
    void record(job_view const& job, capacity_pool tried,
                std::size_t customer = 0);

private:
    struct shape
    {
        capacity_pool tried;
        std::size_t customer;
        resources member;
        int members;
        adjacency within;
    };

    std::vector<shape> shapes_;
};

} // namespace sequoiaroute::policy
