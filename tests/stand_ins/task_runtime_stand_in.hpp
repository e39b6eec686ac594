#pragma once

#include "core/timer_service.hpp"
#include "platform/task_runtime.hpp"
#include "stand_ins/control.hpp"
#include "stand_ins/directives.hpp"

#include <map>

namespace sequoiaroute::stand_ins {

/// A stand-in of the task runtime of one worker that simulates the tasks. The
/// command of a task holds directives: run_ms (its run time at full speed),
/// output, fail, checkpoint_ms (the time that a checkpoint takes) and
/// ignore_checkpoint. A checkpoint is "TASK@PROGRESS_MS"; a restored task
/// continues from this progress. Faults in section /runtime/INDEX: frozen,
/// delay_ms, fail_all.
class task_runtime_stand_in
{
public:
    /// @param worker_index from 0; it appears in the journal and in the section
    ///        of the faults
    task_runtime_stand_in(control& control, int worker_index);

    /// Adds routes for POST /tasks (start), GET /tasks (list) and POST
    /// /tasks/ID/COMMAND (renew, throttle, checkpoint, stop).
    /// @param server the server to add the routes to
    void serve(http::http_server& server);

private:
    struct task
    {
        platform::task_report report;
        directives command{""};
        core::time_point lease_end; ///< when the task stops unless renewed
        core::time_point progress_updated_at;
        /// When the pending checkpoint is complete; max() if none is pending.
        core::time_point checkpoint_done_at;
        double progress_ms = 0; ///< run time at full speed so far
        int percent = 100;      ///< speed, reduced by throttle
    };

    http::http_response start_task(core::json const& specification);
    http::http_response list_tasks();
    http::http_response handle_command(std::string const& path,
                                       core::json const& arguments);
    /// Applies a command such as "renew" to a running task. mutex_ must be
    /// locked, as in the functions on a single task below.
    void apply_command(task& task, std::string_view name,
                       core::json const& arguments);
    /// Updates all running tasks; called every 10 ms.
    void update_tasks();
    /// Advances the progress of a running task to a time, and ends it if its
    /// lease has expired or its run is over.
    void update_task(task& task, core::time_point now);
    void end(task& task, platform::task_state state);
    /// Adds an entry about a task to the journal.
    void record_task(std::string_view kind, task const& task,
                     core::json fields);

    control& control_;
    int worker_index_;
    std::string section_;
    core::system_clock clock_;
    std::mutex mutex_;
    std::map<std::string, task, std::less<>> tasks_;
    core::timer_service timers_{1};
    std::unique_ptr<core::timer_service::subscription> subscription_;
};

} // namespace sequoiaroute::stand_ins
