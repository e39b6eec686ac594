#pragma once

#include "policy/policy_weights.hpp"
#include "policy/run_time_history.hpp"
#include "policy/scheduling.hpp"
#include "policy/scheduling_round.hpp"

#include <deque>

namespace sequoiaroute::policy {

/// The default placement policy. It packs jobs like a buddy allocator, lends
/// idle guaranteed cells and reclaims them by eviction, reserves resources for
/// the oldest large gang and backfills around the reservation. A limited number
/// of small borrowing jobs per hour is moved to free adjacent accelerators for
/// large jobs.
class cell_policy final : public placement_policy
{
public:
    explicit cell_policy(policy_weights const& weights) : weights_(weights) {}

    decision decide(cluster_view const& cluster, core::time_point now) override;

    void observe_end(job_view const& job, core::duration run_time,
                     bool has_succeeded) override;

private:
    policy_weights weights_;
    run_time_history history_;
    std::deque<core::time_point> moves_; ///< times of moves in the last hour
    worker_claims claims_;               ///< from the last round
};

} // namespace sequoiaroute::policy
