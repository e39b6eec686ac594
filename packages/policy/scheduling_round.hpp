#pragma once

#include "policy/best_fit_search.hpp"
#include "policy/eviction_planner.hpp"
#include "policy/gang_reservation.hpp"
#include "policy/guarantee_ledger.hpp"
#include "policy/infeasible_shapes.hpp"
#include "policy/policy_weights.hpp"
#include "policy/queue_order.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace sequoiaroute::policy {

/// The workers on which room is being cleared for waiting jobs, by job.
using room_claims = absl::flat_hash_map<std::string, std::vector<std::size_t>>;

/// The state of one round of cell_policy.
class scheduling_round
{
public:
    /// @param cluster the fleet, the queue and the rules
    /// @param now the current time
    /// @param weights the weights of the user
    /// @param history observed run times
    /// @param moves_left how many jobs may be moved
    /// @param claims where the round before cleared room; only a preference
    scheduling_round(cluster_view const& cluster, core::time_point now,
                     policy_weights const& weights,
                     run_time_history const& history, int moves_left,
                     room_claims claims = {});

    /// @return what to start, to stop and to reject
    decision run();

    /// @return the room that is being cleared after this round
    room_claims const& claims() const { return claims_; }

    /// @return how many jobs were moved
    int moves() const { return moves_; }

private:
    using members = best_fit_search::members;

    void count_held();
    void place_owners(std::vector<queued_job>& queue);
    job_view const* oldest_large_gang(std::vector<queued_job> const& queue);
    void consider(job_view const& job, bool is_gang);
    bool is_within_limit(job_view const& job);
    bool try_guaranteed(job_view const& job);
    bool try_earlier_claim(job_view const& job);
    bool try_reclaim(job_view const& job, members const& own);
    bool try_not_lent(job_view const& job);
    bool try_borrowed(job_view const& job);
    bool try_gang(job_view const& job);
    bool try_moves(job_view const& job);
    bool can_be_moved(eviction_planner::victims const& victims,
                      members const& members);
    bool has_room(job_view const& job, members const& members) const;
    void place(job_view const& job, members members, bool is_borrowing);
    void claim(job_view const& job, members const& members);
    void evict(job_view const& job, eviction_planner::victims const& victims,
               eviction_reason reason);
    void wait(job_view const& job);
    bool reject_if_too_large(job_view const& job);
    bool reject_if_never_lent(job_view const& job);
    eviction_planner& planner();

    cluster_view const& cluster_;
    core::time_point now_;
    policy_weights const& weights_;
    run_time_history const& history_;
    int moves_left_;
    int moves_ = 0;
    room_claims earlier_claims_;
    room_claims claims_;
    worker_topology tree_;
    best_fit_search fit_;
    guarantee_ledger ledger_;
    std::vector<resources> free_;
    absl::flat_hash_map<std::string_view, int> held_; ///< by customer
    std::optional<eviction_planner> planner_;
    std::optional<gang_reservation> reservation_;
    infeasible_shapes failed_;
    using shape_key = std::tuple<int, int, int, int, adjacency>;
    absl::flat_hash_map<shape_key, bool> fits_idle_fleet_;
    int waiting_ = 0;
    decision decision_;
};

} // namespace sequoiaroute::policy
