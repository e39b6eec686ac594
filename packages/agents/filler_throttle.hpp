#pragma once

#include "core/clock.hpp"
#include "jobs/job_spec.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace sequoiaroute::agents {

/// Throttles the filler tasks of a worker to protect the response times of the
/// serving tasks beside them.
///
/// Fillers are batch tasks that use the processor time that a worker's other
/// tasks leave idle. They slow down a serving task by an amount that changes
/// within seconds. All fillers therefore share one limit with additive increase
/// and multiplicative decrease: it is cut to less than half while any serving
/// task exceeds its response time target, so that it reaches zero well before
/// users complain, and grows in small steps while all serving tasks are clearly
/// below their targets.
class filler_throttle
{
public:
    /// A run as the executor's newest snapshot shows it.
    struct observed_run
    {
        jobs::run_id run;
        bool is_filler = false;
        /// The response time that a serving task must not exceed; 0 for other
        /// tasks.
        core::duration response_target{0};
        /// The recent response time of a serving task.
        core::duration response_time{0};
    };

    /// A new limit for a run.
    struct share_change
    {
        jobs::run_id run;
        /// Share of the run's full speed.
        std::int32_t percent = 100;
    };

    /// Updates the limit of the fillers.
    /// @param runs all runs of the worker
    /// @param now the current time
    /// @return the limits that the caller must apply; each is assumed to be
    ///         applied unless clear_applied_share() is called
    std::vector<share_change> update(std::span<observed_run const> runs,
                                     core::time_point now);

    /// Reports that the limit of a run could not be applied, so that the next
    /// update() returns it again.
    void clear_applied_share(jobs::run_id const& run)
    {
        applied_shares_.erase(run);
    }

    /// @return whether fillers run beside serving tasks; the caller should then
    ///         update the observed runs often
    bool is_active() const { return is_active_; }

    /// @return the limit in force for a run, in percent of its full speed
    std::int32_t share_of(jobs::run_id const& run) const;

private:
    void adjust_share(std::span<observed_run const> runs, core::time_point now);

    std::int32_t filler_share_ = 100; ///< limit of every filler, in percent
    core::time_point adjusted_at_{};
    bool is_active_ = false;
    /// Limits in force, in percent. A run without an entry has 100.
    std::map<jobs::run_id, std::int32_t> applied_shares_;
};

} // namespace sequoiaroute::agents
