#pragma once

#include "core/clock.hpp"
#include "jobs/resources.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sequoiaroute::jobs {

/// A set of equal tasks within a job.
struct step_spec
{
    std::int32_t task_count = 1;
    resources task;
    /// The customer's estimate of one task's run time; may be far off.
    core::duration estimate{0};
    /// Steps whose tasks must all be done before this one begins.
    std::vector<std::int32_t> after;
    /// The tasks run only together.
    bool is_gang = false;
    /// The tasks are slowed down unless all of them run on one rack.
    bool is_rack_local = false;
    /// The tasks save their progress, and can go on from it.
    bool has_checkpoints = false;
    /// Each task may run in several copies.
    bool is_speculative = false;
    /// The tasks run until the job is cancelled.
    bool is_long_running = false;
    /// How many tasks of a long-running step may be away at the same time by
    /// the system's own doing; 0 if the customer did not say.
    std::int32_t allowed_absences = 0;
    /// The tasks serve users, and their answers must not take longer; 0 if they
    /// serve nobody.
    core::duration response_target{0};
    /// The tasks use what the other tasks of a worker leave of its processors.
    bool is_filler = false;
    /// A label that the worker must have; empty for any worker.
    std::string required_label;
    /// The rack of the data; elsewhere the tasks are slowed down.
    std::string data_rack;
    /// How many tasks of the step one worker may run; 0 for any number.
    std::int32_t max_per_worker = 0;

    /// @return what a task takes of a worker's room
    resources requested_resources() const
    {
        return {is_filler ? 0 : task.millicores, task.memory_mb,
                task.accelerators};
    }
};

/// A job as the customer describes it.
struct job_spec
{
    /// Passed on to the tasks as it is.
    std::string payload;
    std::vector<step_spec> steps;
    /// How many times the steps run at set times; 0 for once, at once.
    std::int64_t repeats = 0;
    /// The first set time, in milliseconds since 1970.
    std::int64_t first_due_ms = 0;
    core::duration interval{0};

    bool is_repeated() const { return repeats > 0; }
    std::int64_t occurrences() const { return is_repeated() ? repeats : 1; }
};

/// @param job the job
/// @param step_times how long each step takes
/// @return how long the longest chain of steps takes
core::duration critical_path_time(job_spec const& job,
                                  std::span<core::duration const> step_times);

/// What the queue's rules say of a job at the time when it was accepted.
struct queue_parameters
{
    std::string queue;
    std::string service; ///< whose workers run the tasks
    /// 0 goes first, and may preempt the others.
    std::int32_t priority = 0;
    bool is_urgent() const { return priority == 0; }
    /// How many failed runs of a task end the job.
    std::int32_t max_attempts = 1;
    /// The completion objective is this many times the run time...
    double objective_factor = 1;
    /// ... and this much more.
    core::duration objective_slack{0};
    /// How long a ticket of the advice service holds; 0 if starts need none.
    core::duration ticket_validity{0};

    bool needs_tickets() const { return ticket_validity > core::duration(0); }
};

/// An accepted job.
struct submission
{
    std::string job_id;
    std::string customer;
    queue_parameters parameters;
    job_spec spec;
};

/// Names a task.
struct task_id
{
    std::string job_id;
    std::int64_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0;

    // clang-tidy 14 misreads the defaulted operator.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(task_id const&) const = default;
};

/// Names a run of a task. The runs of a task are numbered upwards from 1; the
/// members of a gang have the same number.
struct run_id
{
    task_id task;
    std::int64_t run = 0;

    // clang-tidy 14 misreads the defaulted operator.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(run_id const&) const = default;
};

/// @return the text of a run in row keys and log lines, such as "job.0.1.3/2"
std::string to_text(run_id const& run);

/// @return the text of a task, such as "job.0.1.3"
std::string to_text(task_id const& task);

} // namespace sequoiaroute::jobs
