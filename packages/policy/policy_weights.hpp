#pragma once

#include "core/clock.hpp"

namespace sequoiaroute::policy {

/// Parameters of cell_policy. They weigh short completion times against low
/// fragmentation. The points make up the score of a queued job.
struct policy_weights
{
    /// Points per halving of the expected run time.
    double completion_time = 1.0;
    /// Points per doubling of the needed accelerators. Large jobs are placed
    /// before the small ones that would fragment the free capacity.
    double fragmentation = 0.5;
    /// Points per hour of waiting. Age is unbounded, so a waiting job
    /// eventually passes every newer one.
    double ageing_per_hour = 1.0;
    /// Waiting time after which a job is starving and considered before all
    /// others, urgent ones included.
    core::duration starvation_age = std::chrono::hours(24);
    /// Minimum number of accelerators of a large gang. The oldest large gang
    /// gets a reservation.
    int large_gang_accelerators = 8;
    /// Waiting time of a large gang before small jobs are moved for it.
    core::duration defragmentation_delay = std::chrono::minutes(20);
    /// Maximum number of jobs moved per hour to reduce fragmentation.
    int max_moves_per_hour = 6;
};

/// For installations with close, fixed deadlines.
inline constexpr policy_weights completion_time_weights{
    .completion_time = 1.0, .fragmentation = 0.25, .max_moves_per_hour = 6};

/// For installations whose overnight jobs need many adjacent accelerators.
inline constexpr policy_weights fragmentation_weights{
    .completion_time = 0.25,
    .fragmentation = 1.0,
    .defragmentation_delay = std::chrono::minutes(5),
    .max_moves_per_hour = 20};

} // namespace sequoiaroute::policy
