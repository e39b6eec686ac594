#pragma once

#include "policy/policy_weights.hpp"
#include "policy/run_time_history.hpp"
#include "policy/scheduling.hpp"

#include <vector>

namespace sequoiaroute::policy {

/// A pending job and the values that determine its position in the queue.
struct queued_job
{
    job_view const* job = nullptr;
    bool is_first_tier = false; ///< urgent or starving
    bool is_starving = false;   ///< has waited for the starvation age
    double score = 0;           ///< higher is considered earlier
};

/// Orders the pending jobs: first the starving jobs by submission, then the
/// urgent jobs, then the others. Jobs of the last two groups are ordered by a
/// score of priority, age, deadline, expected run time and size.
/// @param cluster the fleet, the queue and the rules
/// @param now the current time
/// @param weights the weights of the score
/// @param history observed run times
/// @return the jobs in the order in which they are considered
std::vector<queued_job> queue_order(cluster_view const& cluster,
                                    core::time_point now,
                                    policy_weights const& weights,
                                    run_time_history const& history);

} // namespace sequoiaroute::policy
