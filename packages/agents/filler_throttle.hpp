#pragma once

#include "core/clock.hpp"
#include "jobs/job_spec.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace sequoiaroute::agents {

/// Decides at which share fillers work beside tasks that serve users.
///
/// The load that it answers: batch work fills what a worker's other tasks leave
/// unused, and slows the answers of a serving task beside it by amounts that
/// change within seconds. The share is halved and more while a serving task is
/// over its target, so that it is at nothing well before users complain, and
/// grows in small steps while all are clearly under theirs.
class filler_throttle
{
public:
    /// A run as the executor's newest list shows it.
    struct subject
    {
        jobs::run_id run;
        bool is_filler = false;
        /// The response time that a serving task has to keep; 0 if it serves
        /// nobody.
        core::duration response_target{0};
        /// The response time that it kept lately.
        core::duration response_time{0};
    };

    /// The share at which a run is to work from now on.
    struct change
    {
        jobs::run_id run;
        std::int32_t percent = 100;
    };

    /// Takes note of what runs.
    /// @return the shares to set; each counts as set until forget() is called
    std::vector<change> update(std::span<subject const> subjects,
                               core::time_point now);

    /// A share could not be set, so it is set again.
    void forget(jobs::run_id const& run) { set_.erase(run); }

    /// @return whether fillers run beside serving tasks, so that the lists have
    ///         to be read often
    bool is_needed() const { return is_needed_; }

    /// @return the share at which a run works
    std::int32_t share_of(jobs::run_id const& run) const;

private:
    void adjust(std::span<subject const> subjects, core::time_point now);

    std::int32_t share_ = 100; ///< of all fillers, in percent
    core::time_point adjusted_at_{};
    bool is_needed_ = false;
    std::map<jobs::run_id, std::int32_t> set_; ///< shares other than 100
};

} // namespace sequoiaroute::agents
