#pragma once

#include "core/clock.hpp"
#include "jobs/worker_report.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::agents {

/// The result of an order to start or stop a run.
enum class order_outcome
{
    done,
    wrong_executor, ///< the order names another executor
    too_late,       ///< the lease sent with the order had already expired
    refused,        ///< the executor will not run the task; final
    busy,           ///< nothing was done; the order may be retried
    not_reached,    ///< connection refused; nothing was done
    unknown,        ///< no answer; the order may still take effect
};

/// @return the name of an outcome as it appears in the log
std::string_view name(order_outcome outcome);

/// An executor's reply to an order.
struct order_reply
{
    order_outcome outcome = order_outcome::unknown;
    /// The executor's clock in milliseconds, if the reply contains it.
    std::optional<std::int64_t> clock_ms;
    /// The executor's explanation; empty if it gave none.
    std::string reason;
};

/// The end of a run. The executor lists it until the agent acknowledges it.
struct unacknowledged_end
{
    std::int64_t number = 0; ///< increases within an incarnation
    jobs::ended_run task;
};

/// The state of an executor at one moment. Unless `is_ok`, only
/// `is_connection_refused` is meaningful.
struct executor_snapshot
{
    bool is_ok = false;
    bool is_connection_refused = false; ///< the connection was refused
    /// Start time of the executor, which identifies its incarnation; 0 if the
    /// reply lacks it.
    std::int64_t born_ms = 0;
    std::int64_t clock_ms = 0; ///< the executor's clock in milliseconds
    std::vector<jobs::active_run> running;
    std::vector<unacknowledged_end> ended;
    /// Whether `ended` has all unacknowledged ends. If not, the executor lists
    /// the others once these are acknowledged, and a run that stands in neither
    /// list may have ended.
    bool has_all_ends = true;
};

/// Asynchronous interface to the executor that an agent manages.
///
/// No call blocks. Each callback runs exactly once, and never before the call
/// has returned. An unanswered order may still take effect seconds
/// later.
class executor_runtime
{
public:
    virtual ~executor_runtime() = default;

    /// Starts a run. Idempotent: has no effect if the run already exists.
    /// @param order the run to start
    /// @param lease_until_ms when the lease expires, in milliseconds of the
    ///        executor's clock
    /// @param done receives the reply
    virtual void start(jobs::run_order const& order,
                       std::int64_t lease_until_ms,
                       std::function<void(order_reply)> done) = 0;

    /// Stops a run. If the run does not exist, the executor refuses any later
    /// attempt to start it.
    /// @param order the run to stop
    /// @param done receives the reply
    virtual void stop(jobs::run_order const& order,
                      std::function<void(order_reply)> done) = 0;

    /// Limits the speed of a run.
    /// @param run the run
    /// @param percent share of its full speed, 0 to 100
    /// @param done receives whether the limit was applied
    virtual void throttle(jobs::run_id const& run, std::int32_t percent,
                          std::function<void(bool)> done) = 0;

    /// Long-polls the executor's state, acknowledges ends and extends the
    /// lease.
    /// @param acknowledged the executor drops the ends up to this number
    /// @param lease_until_ms when the extended lease expires, in milliseconds
    ///        of the executor's clock; the lease is not extended if empty
    /// @param wait how long the executor may delay its answer until a run ends
    /// @param done receives the state
    virtual void poll(std::int64_t acknowledged,
                      std::optional<std::int64_t> lease_until_ms,
                      core::duration wait,
                      std::function<void(executor_snapshot)> done) = 0;
};

} // namespace sequoiaroute::agents
