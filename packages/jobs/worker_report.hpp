#pragma once

#include "jobs/job_spec.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::jobs {

/// One lifetime of an executor process. An executor may restart under the same
/// id, but with another `born_ms`.
struct incarnation
{
    std::string id;
    std::int64_t born_ms = 0; ///< the start of the process, in milliseconds

    // clang-tidy 14 misreads the defaulted operator.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(incarnation const&) const = default;

    /// @return whether this incarnation started after another one on the same
    ///         machine, which must therefore have ended
    bool replaces(incarnation const& other) const
    {
        return *this != other && born_ms >= other.born_ms;
    }
};

enum class worker_state
{
    ready,
    draining,
    gone, ///< the executor has ended, and with it all runs
};

/// @return the name of a state in rows and messages, which must not change
std::string_view name(worker_state state);

/// The remaining time of a draining worker that gets no new runs, but keeps
/// those it has. Longer than the decider expects of a long-running task, which
/// it would stop otherwise.
inline constexpr core::duration unlimited_remaining{std::chrono::hours(24)};

/// The properties of a worker, as reported by its executor.
struct worker_description
{
    incarnation executor;
    std::string service;
    std::string data_centre;
    std::string rack;
    worker_state state = worker_state::gone;
    /// While draining: the least time until the executor ends.
    core::duration remaining{0};
    resources capacity;
    std::vector<std::string> labels;
    /// How much longer the executor is slow after its start.
    core::duration cold_for{0};

    bool operator==(worker_description const&) const = default;
};

/// How a run ended.
enum class run_end
{
    done,
    failed,
    stopped,
    lapsed,  ///< its lease expired
    broken,  ///< another member of its gang ended
    alone,   ///< other members of its gang did not start
    refused, ///< the executor did not start it
    lost,    ///< its executor ended or restarted
};

/// @return the name of an end in rows and messages, which must not change
std::string_view name(run_end end);

/// @return the end with a given name; `lost` if the name is unknown
run_end parse_run_end(std::string_view name);

/// A run in progress.
struct active_run
{
    run_id run;
    std::string checkpoint;   ///< the newest one; empty if there is none
    std::int32_t percent = 0; ///< completed share of the work
    /// The rate, in percent of full speed, to which a filler is throttled.
    std::int32_t share = 100;
    /// The recent response time of a task that serves users. Not stored with
    /// the report.
    core::duration response_time{0};

    bool operator==(active_run const&) const = default;
};

/// A run that has ended, but whose order has not been removed yet.
struct ended_run
{
    run_id run;
    run_end end = run_end::lost;
    std::string checkpoint; ///< the newest one; empty if there is none

    bool operator==(ended_run const&) const = default;
};

/// The report that an agent stores on its worker and the runs there.
struct worker_report
{
    std::string agent;
    /// When it was written, by the steady clock of the store.
    core::duration written_at{0};
    worker_description worker;
    std::vector<active_run> running;
    std::vector<ended_run> ended;
    /// The agent's session; empty if it was written by an agent without them.
    std::string session;

    bool operator==(worker_report const&) const = default;
};

/// The decider's order to an agent to start a run, and later to stop it. It is
/// stored until the decider has processed the end of the run.
struct run_order
{
    std::string agent;
    incarnation executor;
    run_id run;
    std::string payload;    ///< from the job, unchanged
    std::string checkpoint; ///< to resume from; empty to start over
    bool is_stop_requested = false;
    /// Whether the job is urgent; the agent then notifies the decider of the
    /// end of the run at once.
    bool is_urgent = false;
    /// The ticket of the advice service that authorizes the executor to start
    /// the run; empty if the queue needs none.
    std::string ticket;
    /// As in step_spec. With these the agent decides how far to throttle
    /// fillers beside tasks that serve users.
    core::duration response_target{0};
    bool is_filler = false;
    /// The session of the agent for which the run was placed. The agent starts
    /// no run of an earlier session. Empty if the decider knew none.
    std::string session;
    /// The latest time, by the store's clock, at which the run may start; zero
    /// for no limit.
    core::duration start_deadline{0};
};

} // namespace sequoiaroute::jobs
