#pragma once

#include "core/clock.hpp"
#include "jobs/worker_report.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sequoiaroute::soak {

/// What each run went through on its executor, so that violations can be
/// described completely. Times count from the creation of the history.
class run_history
{
public:
    /// A run on an incarnation of an executor.
    struct key
    {
        jobs::run_id run;
        std::string executor; ///< the incarnation

        // clang-tidy 14 misreads the defaulted operator.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(key const&) const = default;
    };

    explicit run_history(core::clock const& clock)
        : clock_(clock), begun_at_(clock.now())
    {
    }

    /// @param agent the name of the agent that ordered the start
    void record_start(key const& run, std::string agent);
    /// Records the first order to stop the run.
    void record_stop(key const& run);
    void record_end(key const& run, jobs::run_end outcome);
    /// Records that the agent acknowledged the end of the run before the lease
    /// of the executor expired.
    void record_acknowledgement(key const& run);
    /// Records all current runs of an incarnation as lost.
    void record_executor_end(std::string const& executor);

    /// @return the current runs of an incarnation
    std::vector<key> running_on(std::string const& executor) const;
    /// @return all runs of a task so far
    std::vector<key> runs_of(jobs::task_id const& task) const;

    /// @return one line of text on what is known of a run now, with times in
    ///         milliseconds
    std::string describe(key const& run) const;

private:
    struct record
    {
        std::string agent;
        core::time_point started_at{};
        std::optional<core::time_point> stop_received_at;
        std::optional<core::time_point> ended_at;
        jobs::run_end outcome = jobs::run_end::lost;
        std::optional<core::time_point> acknowledged_at;
    };

    /// @return the time in milliseconds, or "-" if there is none
    std::string time_text(std::optional<core::time_point> time) const;

    core::clock const& clock_;
    core::time_point begun_at_;
    std::map<key, record> records_;
};

} // namespace sequoiaroute::soak
