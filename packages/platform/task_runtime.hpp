#pragma once

#include "core/clock.hpp"
#include "core/codec.hpp"
#include "core/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::platform {

/// The resources that a task reserves on its worker.
struct task_resources
{
    int cores = 0;
    int memory_megabytes = 0;
    int accelerators = 0;

    bool operator==(task_resources const&) const = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(task_resources, cores, memory_megabytes,
                                   accelerators)
};

/// A task to start on a worker.
struct task_specification
{
    std::string task_id; ///< JOB.ATTEMPT.MEMBER
    std::string customer;
    task_resources resources;
    std::string command;   ///< opaque to the scheduler
    std::string input_key; ///< object with the input; empty if there is none
    /// The checkpoint to resume from; empty to start over.
    std::string restore_from;
    core::duration lease{}; ///< until the first renewal
};

/// The states of a task, as the runtime reports them.
enum class task_state
{
    running,
    finished,
    failed,
    stopped,       ///< on request
    lease_expired, ///< stopped because its lease was not renewed in time
};

NLOHMANN_JSON_SERIALIZE_ENUM(task_state,
                             {{task_state::running, "running"},
                              {task_state::finished, "finished"},
                              {task_state::failed, "failed"},
                              {task_state::stopped, "stopped"},
                              {task_state::lease_expired, "lease_expired"}})

/// The state of a task, as the runtime reports it.
struct task_report
{
    std::string task_id;
    task_state state = task_state::running;
    std::string output;     ///< of a finished task
    std::string checkpoint; ///< the latest one; empty if there is none
    std::string detail;     ///< the reason of a failure

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(task_report, task_id, state, output,
                                   checkpoint, detail)
};

/// The platform's task runtime on one worker. It stops tasks whose lease is not
/// renewed in time. All functions may return errors of the connection.
class task_runtime
{
public:
    virtual ~task_runtime() = default;

    /// Starts a task. Idempotent by task id.
    virtual core::status start(task_specification const& task) = 0;
    /// Renews the lease of a task.
    /// @param task_id the task
    /// @param lease the time from now until the lease expires
    /// @return ok; not_found if the runtime does not have the task
    virtual core::status renew(std::string_view task_id,
                               core::duration lease) = 0;
    /// Requests a checkpoint from a task, which may ignore the request.
    virtual core::status checkpoint(std::string_view task_id) = 0;
    /// Limits the CPU usage of a task.
    /// @param task_id the task
    /// @param percent the share of the task's cores that it may use
    virtual core::status throttle(std::string_view task_id, int percent) = 0;
    /// Stops a task. Also returns ok if the task does not run.
    virtual core::status stop(std::string_view task_id) = 0;
    /// Lists the tasks of the worker, including those that have ended.
    virtual core::result<std::vector<task_report>> tasks() = 0;
};

} // namespace sequoiaroute::platform
