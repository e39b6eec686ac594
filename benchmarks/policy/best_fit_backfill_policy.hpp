#pragma once

#include "policy/best_fit_search.hpp"
#include "policy/eviction_planner.hpp"
#include "policy/gang_reservation.hpp"
#include "policy/guarantee_ledger.hpp"
#include "policy/scheduling.hpp"

#include <optional>

namespace sequoiaroute::benchmarks {

/// A baseline policy: first come, first served with best-fit packing, a
/// reservation for the first job that does not fit, and backfill around the
/// reservation by declared run times. It keeps guarantees with the same ledger
/// and evictions as cell_policy, so that only the placement differs.
class best_fit_backfill_policy final : public policy::placement_policy
{
public:
    /// @param is_urgent_first true to consider urgent jobs before all others
    explicit best_fit_backfill_policy(bool is_urgent_first)
        : is_urgent_first_(is_urgent_first)
    {
    }

    policy::decision decide(policy::cluster_view const& cluster,
                            core::time_point now) override;

    /// Does nothing: the policy does not learn run times.
    void observe_end(policy::job_view const& job, core::duration run_time,
                     bool has_succeeded) override;

private:
    struct round;

    /// Places a job within its customer's unused guarantee. Evicts borrowing
    /// jobs if needed; the job is then placed in a later round.
    /// @return false if the job cannot be placed in this way
    static bool place_within_guarantee(round& round,
                                       policy::job_view const& job);
    /// Places a job on free resources that the reservation does not need. The
    /// job borrows them, except that an unrepeatable job needs a guarantee.
    /// @return false if the job was not placed
    static bool place(round& round, policy::job_view const& job);
    /// Adds a placement to the decision and charges its resources.
    static void start(round& round, policy::job_view const& job,
                      policy::best_fit_search::members members,
                      bool is_borrowing);

    bool is_urgent_first_;
};

} // namespace sequoiaroute::benchmarks
