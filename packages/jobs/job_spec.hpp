#pragma once

#include "core/clock.hpp"
#include "core/result.hpp"
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
    /// The resources that the customer requests for each task.
    resources task;
    /// The customer's estimate of the run time of one task; may be far off.
    core::duration estimate{0};
    /// Indexes of the steps that must be done before this one starts.
    std::vector<std::int32_t> after;
    /// The tasks can only run together, as a gang.
    bool is_gang = false;
    /// The tasks run slower unless all of them are on one rack.
    bool is_rack_local = false;
    /// The tasks write checkpoints from which later runs resume.
    bool has_checkpoints = false;
    /// A task may run as several copies at the same time.
    bool is_speculative = false;
    /// The tasks run until the job is cancelled.
    bool is_long_running = false;
    /// The most tasks of a long-running step that the system itself may keep
    /// interrupted at the same time; 0 if the customer gave no limit.
    std::int32_t allowed_absences = 0;
    /// The longest response time of tasks that serve users; 0 for other tasks.
    core::duration response_target{0};
    /// The tasks run on the CPU time that other tasks on the worker leave idle.
    bool is_filler = false;
    /// A label that workers must have to run the tasks; empty for any worker.
    std::string required_label;
    /// The rack that holds the input data; the tasks run slower on others.
    /// Empty for any rack.
    std::string data_rack;
    /// The most tasks of the step that one worker may run; 0 for no limit.
    std::int32_t max_per_worker = 0;

    /// @return the resources that a task reserves on its worker; a filler
    ///         reserves no CPU time
    resources requested_resources() const
    {
        return {is_filler ? 0 : task.millicores, task.memory_mb,
                task.accelerators};
    }
};

/// The largest job that is accepted. The progress of all tasks of its open
/// occurrences, and the payload in each order, are stored in one row each.
constexpr std::size_t max_steps = 256;
constexpr std::int64_t max_tasks = 1000; ///< of all steps
constexpr std::int64_t max_occurrences = 5000;
constexpr std::size_t max_payload_bytes = 16'384;

/// A job as the customer submits it.
struct job_spec
{
    /// Passed to the tasks unchanged.
    std::string payload;
    std::vector<step_spec> steps;
    /// The number of occurrences of a scheduled job; 0 for a job that runs
    /// once, as soon as possible.
    std::int64_t repeats = 0;
    /// When the first occurrence is due, in milliseconds since 1970.
    std::int64_t first_due_ms = 0;
    /// The time between the due times of two occurrences.
    core::duration interval{0};

    bool is_repeated() const { return repeats > 0; }

    /// @return how many times the steps run in all
    std::int64_t occurrences() const { return is_repeated() ? repeats : 1; }
};

/// Checks a job that a customer submits.
/// @return bad_request with the reason if the job could never complete or is
///         larger than the limits
core::status check_job(job_spec const& job);

/// @return the number of tasks in all steps of one occurrence
std::int64_t task_count(job_spec const& job);

/// @param job the job
/// @param step_times the time that each step takes, by index
/// @return the length of the critical path: the time that the longest chain of
///         dependent steps takes
core::duration critical_path_time(job_spec const& job,
                                  std::span<core::duration const> step_times);

/// The settings of a queue that apply to a job. A job keeps those that were in
/// force when it was accepted.
struct queue_parameters
{
    std::string queue;
    std::string service; ///< the service whose workers run the tasks
    /// 0 is urgent: such jobs are placed first and may preempt all others.
    std::int32_t priority = 0;
    bool is_urgent() const { return priority == 0; }
    /// The number of failed runs of one task after which the job fails.
    std::int32_t max_attempts = 1;
    /// The job should complete within its expected run time multiplied by this
    /// factor, plus `objective_slack`.
    double objective_factor = 1;
    core::duration objective_slack{0};
    /// How long a ticket of the advice service is valid; 0 if runs start
    /// without one.
    core::duration ticket_validity{0};

    bool needs_tickets() const { return ticket_validity > core::duration(0); }
};

/// An accepted job, as the entry that accepted it stores it.
struct submission
{
    std::string job_id;
    std::string customer;
    queue_parameters parameters;
    job_spec spec;
    /// When the entry accepted it, by the steady clock of the store; zero if
    /// that is not known.
    core::duration accepted_at{0};
};

/// Identifies a task.
struct task_id
{
    std::string job_id;
    std::int64_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0; ///< within the step

    // clang-tidy 14 misreads the defaulted operator.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(task_id const&) const = default;
};

/// Identifies a run of a task. The runs of a task are numbered upwards from 1;
/// the members of a gang that start together have the same number.
struct run_id
{
    task_id task;
    std::int64_t run = 0;

    // clang-tidy 14 misreads the defaulted operator.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(run_id const&) const = default;
};

/// @return a run as text for row keys and log lines, such as "job.0.1.3/2"
std::string to_text(run_id const& run);

/// @return a task as text, such as "job.0.1.3"
std::string to_text(task_id const& task);

} // namespace sequoiaroute::jobs
