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

/// How an executor answered an order.
enum class order_outcome
{
    done,
    wrong_executor, ///< another life of the executor answered
    too_late,       ///< the lease in the order had run out
    refused,        ///< it does not run, and will not
    busy,           ///< nothing was done; it may be tried again
    not_reached,    ///< nothing listens there
    unknown,        ///< no answer; it may be carried out later
};

/// @return the stable name of an outcome
std::string_view name(order_outcome outcome);

struct order_reply
{
    order_outcome outcome = order_outcome::unknown;
    /// The executor's clock, if it said so.
    std::optional<std::int64_t> clock_ms;
    std::string reason;
};

/// A run that has ended, as the executor lists it until it is acknowledged.
struct unacknowledged_end
{
    std::int64_t number = 0; ///< rises within one life of the executor
    jobs::ended_task task;
};

/// What an executor runs.
struct executor_snapshot
{
    bool is_ok = false;
    bool is_refused = false; ///< nothing listens there
    std::int64_t born_ms = 0;
    std::int64_t clock_ms = 0;
    std::vector<jobs::running_task> running;
    std::vector<unacknowledged_end> ended;
};

/// The executor beside an agent. Calls do not block; each callback runs once,
/// never before its call returned. An order without an answer may be carried
/// out seconds later.
class executor_runtime
{
public:
    virtual ~executor_runtime() = default;

    /// Starts a run; does nothing if it is there already.
    /// @param order what to run
    /// @param lease_until_ms end of the lease on the executor's clock
    virtual void start(jobs::run_order const& order,
                       std::int64_t lease_until_ms,
                       std::function<void(order_reply)> done) = 0;

    /// Stops a run. One that is not there will be refused from then on.
    virtual void stop(jobs::run_order const& order,
                      std::function<void(order_reply)> done) = 0;

    /// Sets the share at which a run works.
    /// @param run the run
    /// @param percent 0 to 100
    /// @param done receives whether it is set
    virtual void throttle(jobs::run_id const& run, std::int32_t percent,
                          std::function<void(bool)> done) = 0;

    /// Extends the lease and reads the lists.
    /// @param acknowledged ends up to this number are forgotten
    /// @param lease_until_ms the new end of the lease, if it is extended
    /// @param wait how long the executor may wait for an end
    virtual void poll(std::int64_t acknowledged,
                      std::optional<std::int64_t> lease_until_ms,
                      core::duration wait,
                      std::function<void(executor_snapshot)> done) = 0;
};

} // namespace sequoiaroute::agents
