#pragma once

#include "core/clock.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::policy {

/// A failed attempt that counts against its worker.
struct failure_evidence
{
    std::string worker_id;
    std::string job_id;
    std::string customer;
    std::string kind;
    core::time_point failed_at;
};

/// Quarantines workers on which several distinct jobs failed; they receive no
/// work for quarantine_duration (docs/design.md, section 3.14). Failures of a
/// single job, or of a single customer with few kinds of work, are blamed on
/// the jobs instead. Not safe for concurrent use.
class quarantine
{
public:
    /// Failed jobs that are required to quarantine a worker.
    static constexpr std::size_t min_distinct_jobs = 3;
    /// The failed jobs must have this many customers or min_distinct_kinds.
    static constexpr std::size_t min_distinct_customers = 2;
    static constexpr std::size_t min_distinct_kinds = 3;
    /// Age up to which a failure counts.
    static constexpr core::duration evidence_window = std::chrono::minutes(10);
    /// Time after which a quarantined worker receives work again.
    static constexpr core::duration quarantine_duration =
        std::chrono::minutes(30);
    /// At most one worker in five is quarantined at the same time, so that a
    /// fault of the jobs or of a shared service cannot empty the fleet.
    static constexpr std::size_t min_workers_per_quarantined = 5;

    /// Records a failure and quarantines the worker if the evidence suffices.
    /// @param evidence the failure; failed_at is used as the current time
    /// @param fleet_size number of known workers
    void record_failure(failure_evidence const& evidence,
                        std::size_t fleet_size);

    /// Clears the evidence against a worker that finished a job and ends its
    /// quarantine.
    void record_success(std::string_view worker_id);

    /// Discards the failures of a job that fails everywhere and ends the
    /// quarantines that depended on them.
    void discard_failures_of_job(std::string_view job_id);

    /// @return whether a worker is quarantined at the time now
    bool is_quarantined(std::string_view worker_id, core::time_point now) const;

    /// @return the ids of the workers that are quarantined at the time now
    std::vector<std::string> quarantined(core::time_point now) const;

private:
    bool has_sufficient_evidence(std::string_view worker_id,
                                 core::time_point now) const;

    std::vector<failure_evidence> evidence_;
    std::map<std::string, core::time_point, std::less<>> quarantined_since_;
};

} // namespace sequoiaroute::policy
