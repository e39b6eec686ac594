#pragma once

#include "policy/best_fit_search.hpp"
#include "policy/eviction_planner.hpp"
#include "policy/gang_reservation.hpp"
#include "policy/guarantee_ledger.hpp"
#include "policy/scheduling.hpp"

#include <optional>

namespace sequoiaroute::benchmarks {

/// A baseline: first come, first served, best-fit packing, room reserved for
/// the first job that does not fit, and backfill around it by declared run
/// times. It keeps the guarantees by the same accounts and evictions as
/// cell_policy, so that only the placement differs.
class best_fit_backfill_policy final : public policy::placement_policy
{
public:
    /// @param is_urgent_first whether urgent jobs go before all others
    explicit best_fit_backfill_policy(bool is_urgent_first)
        : is_urgent_first_(is_urgent_first)
    {
    }

    policy::decision decide(policy::cluster_view const& cluster,
                            core::time_point now) override;

    void observe_end(policy::job_view const& job, core::duration run_time,
                     bool has_succeeded) override;

private:
    struct round;

    static bool place_owner(round& round, policy::job_view const& job);
    static bool place(round& round, policy::job_view const& job);
    static void start(round& round, policy::job_view const& job,
                      policy::best_fit_search::members members,
                      bool is_borrowing);

    bool is_urgent_first_;
};

} // namespace sequoiaroute::benchmarks
