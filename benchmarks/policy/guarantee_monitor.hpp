#pragma once

#include "policy/measurements.hpp"
#include "policy/scheduling.hpp"

#include <map>
#include <string>

namespace sequoiaroute::benchmarks {

/// Checks that a policy keeps the guarantees, independently of the policy's own
/// ledger: a waiting job that fits into an unused cell of its customer's
/// guarantee must start within the limit. Violations are counted in the
/// measurements; the report shows them as broken promises.
class guarantee_monitor
{
public:
    /// Limit of the time to reclaim guaranteed cells (docs/design.md,
    /// section 3.8).
    static constexpr core::duration reclaim_limit = std::chrono::seconds(10);

    /// Checks the state of the cluster after a decision was applied.
    /// @param cluster the state
    /// @param now the simulated time
    /// @param result receives a violation for each job that waits too long,
    ///        once per job
    void check(policy::cluster_view const& cluster, core::time_point now,
               measurements& result);

    /// Records the time that a started job waited for its guarantee, if it did.
    /// @param job_id the job
    /// @param now the simulated time
    /// @param result receives the time in reclaim_seconds
    void record_start(std::string const& job_id, core::time_point now,
                      measurements& result);

    /// Removes a job that no longer waits and did not start.
    void remove(std::string const& job_id) { waiting_since_.erase(job_id); }

    /// Counts a violation, and keeps the text of the first.
    static void record_violation(measurements& result, std::string text);

private:
    /// Since when each job waits although an unused cell fits it, by job id.
    std::map<std::string, core::time_point> waiting_since_;
    std::map<std::string, core::time_point> reported_; ///< time of violation
};

} // namespace sequoiaroute::benchmarks
