#pragma once

#include "policy/scheduling.hpp"

#include <map>
#include <string>
#include <vector>

namespace sequoiaroute::policy {

/// Places jobs in the order of submission on the first workers that have enough
/// free resources. A job that does not fit does not block the jobs behind it.
/// Evicts nothing. Baseline for the comparison of policies.
class first_fit_policy final : public placement_policy
{
public:
    decision decide(cluster_view const& cluster, core::time_point now) override;

    void observe_end(job_view const& job, core::duration run_time,
                     bool has_succeeded) override;

private:
    /// State of one scheduling round.
    struct round
    {
        std::vector<resources> free;
        std::map<std::string, int> allocated_accelerators; ///< by customer
        int waiting_jobs = 0;
    };

    static round start_round(cluster_view const& cluster);
    /// Places, rejects or defers a job.
    static void consider(cluster_view const& cluster, job_view const& job,
                         round& round, decision& decision);
};

} // namespace sequoiaroute::policy
