#pragma once

#include "jobs/job_spec.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::jobs {

/// One life of an executor. It may start again under its id; `born` tells its
/// lives apart.
struct incarnation
{
    std::string id;
    std::int64_t born_ms = 0;

    // clang-tidy 14 misreads the defaulted operator.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(incarnation const&) const = default;

    /// @return whether this life began after another one on the same machine,
    ///         which has therefore ended
    bool replaces(incarnation const& other) const
    {
        return *this != other && born_ms >= other.born_ms;
    }
};

enum class worker_state
{
    ready,
    draining,
    gone, ///< the executor has ended; nothing runs on it
};

/// @return the stable name of a state
std::string_view name(worker_state state);

/// What a worker offers, as its executor says.
struct worker_description
{
    incarnation executor;
    std::string service;
    std::string data_centre;
    std::string rack;
    worker_state state = worker_state::gone;
    /// While it drains: the least time until it ends.
    core::duration remaining{0};
    resources capacity;
    std::vector<std::string> labels;

    bool operator==(worker_description const&) const = default;
};

/// How a run ended.
enum class run_end
{
    done,
    failed,
    stopped,
    lapsed,  ///< its lease ran out
    broken,  ///< another member of its gang ended
    alone,   ///< the other members of its gang did not appear
    refused, ///< the executor did not start it
    lost,    ///< the executor's life ended
};

/// @return the stable name of an end
std::string_view name(run_end end);

/// @return the end with a name; `lost` if there is none such
run_end parse_run_end(std::string_view name);

/// A run that is at work.
struct active_run
{
    run_id run;
    std::string checkpoint;
    std::int32_t percent = 0;
    /// The share, in percent, at which it may work.
    std::int32_t share = 100;
    /// Of a task that serves users: how long its answers took lately. It is
    /// not reported.
    core::duration response_time{0};

    bool operator==(active_run const&) const = default;
};

/// A run that has ended and whose order still stands.
struct ended_run
{
    run_id run;
    run_end end = run_end::lost;
    std::string checkpoint;

    bool operator==(ended_run const&) const = default;
};

/// What an agent says of its worker.
struct worker_report
{
    std::string agent;
    /// When it was written, by the store's steady clock.
    core::duration written_at{0};
    worker_description worker;
    std::vector<active_run> running;
    std::vector<ended_run> ended;

    bool operator==(worker_report const&) const = default;
};

/// The order to run a task on a worker. It stands until the decider has taken
/// note of the run's end.
struct run_order
{
    std::string agent;
    incarnation executor;
    run_id run;
    std::string payload;
    std::string checkpoint;
    bool is_stop_requested = false;
    /// Its job is urgent, so the decider is told of its end at once.
    bool is_urgent = false;
    /// Proves to the executor that it may run the task; empty if its queue
    /// needs no proof.
    std::string ticket;
    /// As in the step: what the agent needs to pace the run.
    core::duration response_target{0};
    bool is_filler = false;
};

} // namespace sequoiaroute::jobs
