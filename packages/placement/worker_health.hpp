#pragma once

#include "core/clock.hpp"

#include <deque>
#include <map>
#include <string>

namespace sequoiaroute::placement {

/// Detects faulty workers by the outcomes of the runs on them.
///
/// A faulty worker may answer heartbeats and start runs, but then fail or stall
/// all of them. A single failed run is no proof, since jobs also fail through
/// faults of their own. When runs of several jobs fail without a success in
/// between, the worker is considered faulty.
class worker_health
{
public:
    /// Records a run that failed on a worker.
    /// @param agent the agent of the worker
    /// @param job the id of the job that the run belongs to
    void record_failure(std::string const& agent, std::string const& job,
                        core::time_point now);

    /// Records a run that succeeded; earlier failures no longer count.
    void record_success(std::string const& agent);

    /// Records that the executor refused to start a run.
    void record_refusal(std::string const& agent, core::time_point now);

    /// @return whether no new runs should start on the worker: its executor
    ///         refused a run within the last second, or runs of several jobs
    ///         failed on it recently
    bool is_avoided(std::string const& agent, core::time_point now) const;

    /// @return the number of recent failures since the last success, 0 if there
    ///         are none; workers with fewer are preferred
    double recent_failures(std::string const& agent,
                           core::time_point now) const;

    /// Discards the records of a worker whose executor has restarted.
    void discard_worker(std::string const& agent);

private:
    struct failure
    {
        std::string job;
        core::time_point at;
    };
    struct record
    {
        std::deque<failure> failures; ///< since the last success
        core::time_point refused_at{};
    };

    std::map<std::string, record> records_;
};

} // namespace sequoiaroute::placement
