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

/// Workers that are being freed for waiting jobs by eviction, by job id: the
/// worker index of each member.
using worker_claims =
    absl::flat_hash_map<std::string, std::vector<std::size_t>>;

/// One scheduling round of cell_policy. It refers to its inputs, which must
/// outlive it.
class scheduling_round
{
public:
    /// @param cluster the fleet, the queue and the rules
    /// @param now the current time
    /// @param weights the parameters of the policy
    /// @param history observed run times
    /// @param moves_left how many jobs may be moved
    /// @param claims the claims of the previous round; a preference only, so
    ///        they may be empty or outdated
    scheduling_round(cluster_view const& cluster, core::time_point now,
                     policy_weights const& weights,
                     run_time_history const& history, int moves_left,
                     worker_claims claims = {});

    /// Runs the round; may be called once.
    /// @return the jobs to start, evict and reject
    decision run();

    /// @return the workers that are being freed after this round
    worker_claims const& claims() const { return claims_; }

    /// @return how many jobs were moved in this round
    int moves() const { return moves_; }

private:
    using members = best_fit_search::members;

    void count_allocated_accelerators();
    /// Places jobs within their customers' guarantees and removes those that
    /// are placed or whose workers are being freed from the queue.
    void place_guaranteed_jobs(std::vector<queued_job>& queue);
    /// @return the large gang that was submitted first, or null. Unrepeatable
    ///         gangs, gangs above their customer's limit and gangs that do not
    ///         fit an idle fleet are skipped.
    job_view const* oldest_large_gang(std::vector<queued_job> const& queue);
    /// Places a job beyond its customer's guarantee, rejects it or notes why it
    /// waits.
    /// @param is_gang whether it is the oldest large gang, which may free
    ///        workers or get the reservation
    void consider(job_view const& job, bool is_gang);
    /// @return whether the customer stays within its accelerator limit
    bool is_within_limit(job_view const& job);

    // The try_ functions return whether the job is placed or workers are being
    // freed for it.

    /// Places a job within its customer's guarantee.
    bool try_guaranteed(job_view const& job);
    /// Keeps the workers that the previous round claimed for a job.
    bool try_previous_claim(job_view const& job);
    /// Evicts borrowing jobs from guaranteed cells.
    bool try_reclaim(job_view const& job, members const& guaranteed_workers);
    /// Places a job, which need not be evictable, on capacity that no guarantee
    /// needs.
    bool try_unguaranteed(job_view const& job);
    /// Places a job as borrowing without delaying the reservation; urgent jobs
    /// ignore the reservation.
    bool try_borrow(job_view const& job);
    /// Evicts backfilled jobs or moves small ones for a gang; if that is not
    /// enough, creates the reservation and returns false.
    bool try_gang(job_view const& job);
    /// Evicts small jobs that fit elsewhere, up to moves_left_.
    bool try_moves(job_view const& job);
    /// @return whether all victims fit outside the workers of the members
    bool can_be_moved(eviction_planner::victims const& victims,
                      members const& members);
    /// @return whether a job fits on its members' workers without evictions
    bool fits_free_resources(job_view const& job, members const& members) const;
    void place(job_view const& job, members members, bool is_borrowing);
    /// Deducts a job from the free resources and from its customer's limit.
    void allocate(job_view const& job, members const& members);
    /// Evicts the victims on behalf of a job.
    void evict(job_view const& job, eviction_planner::victims const& victims,
               eviction_reason reason);
    void add_waiting_note(job_view const& job);
    /// Rejects a job that does not fit an idle fleet.
    /// @return whether it was rejected
    bool reject_if_too_large(job_view const& job);
    /// Rejects an unrepeatable job that would need guaranteed cells even on an
    /// idle fleet.
    /// @return whether it was rejected
    bool reject_if_guaranteed_to_others(job_view const& job);
    /// Creates the planner on first use and passes its costs to the ledger.
    eviction_planner& planner();

    cluster_view const& cluster_;
    core::time_point now_;
    policy_weights const& weights_;
    run_time_history const& history_;
    int moves_left_;
    int moves_ = 0;
    worker_claims previous_claims_;
    worker_claims claims_;
    worker_topology topology_;
    best_fit_search fit_;
    guarantee_ledger ledger_;
    std::vector<resources> free_;
    /// By customer; running jobs included.
    absl::flat_hash_map<std::string_view, int> allocated_accelerators_;
    std::optional<eviction_planner> planner_;
    std::optional<gang_reservation> reservation_;
    infeasible_shapes infeasible_shapes_;
    using shape_key = std::tuple<int, int, int, int, adjacency>;
    /// Results of best_fit_search::fits_idle_fleet(), by shape.
    absl::flat_hash_map<shape_key, bool> fits_idle_fleet_;
    int waiting_jobs_ = 0;
    decision decision_;
};

} // namespace sequoiaroute::policy
