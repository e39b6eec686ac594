#pragma once

#include "core/clock.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::policy {

/// A failed attempt as evidence against its worker.
struct failure_evidence
{
    std::string worker_id;
    std::string job_id;
    std::string customer;
    std::string kind;
    core::time_point at;
};

/// Decides which workers receive no work because distinct jobs failed there
/// (section 3.14 of the design). Not safe for concurrent use.
class quarantine
{
public:
    static constexpr std::size_t distinct_jobs = 3;
    static constexpr std::size_t distinct_customers = 2;
    static constexpr std::size_t distinct_kinds = 3;
    static constexpr core::duration window = std::chrono::minutes(10);
    /// How long a worker stays out before it may prove itself again.
    static constexpr core::duration period = std::chrono::minutes(30);
    /// At most one worker in five is out at once, so that a fault of the jobs
    /// or of a shared service cannot empty the fleet.
    static constexpr std::size_t workers_per_quarantined = 5;

    /// Counts a failure against a worker.
    /// @param evidence the failure
    /// @param fleet_size the number of known workers
    void note_failure(failure_evidence const& evidence, std::size_t fleet_size);

    /// Clears the evidence against a worker that finished a job.
    void note_success(std::string_view worker_id);

    /// Drops the evidence from a job that fails everywhere.
    void discard_failures_of_job(std::string_view job_id);

    /// @return whether a worker is quarantined at a time
    bool is_quarantined(std::string_view worker_id, core::time_point now) const;

    /// @return the workers that are quarantined at a time
    std::vector<std::string> quarantined(core::time_point now) const;

private:
    bool is_convincing(std::string_view worker_id, core::time_point now) const;

    std::vector<failure_evidence> evidence_;
    std::map<std::string, core::time_point, std::less<>> quarantined_since_;
};

} // namespace sequoiaroute::policy
