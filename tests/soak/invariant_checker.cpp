#include "soak/invariant_checker.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::soak {

namespace {

/// A run may still start so long after a cancellation was confirmed, since its
/// order may be executed late.
constexpr core::duration max_start_after_cancellation{12'000};
/// Entries answer with job states from a replica that is at most this old.
constexpr core::duration max_state_age{5000};

} // namespace

void invariant_checker::report(std::string text,
                               std::vector<run_history::key> runs)
{
    violations_.push_back({std::move(text), std::move(runs)});
}

std::vector<std::string> invariant_checker::violations() const
{
    std::vector<std::string> texts;
    for (auto const& found : violations_) {
        auto& text = texts.emplace_back(found.text);
        for (auto const& run : found.runs)
            text += "\n    " + history_.describe(run);
    }
    return texts;
}

bool invariant_checker::is_step_done(std::string const& job,
                                     std::int32_t step) const
{
    auto const& submitted = jobs_.at(job);
    auto const size = submitted.step_sizes[static_cast<std::size_t>(step)];
    for (std::int32_t index = 0; index < size; ++index) {
        auto const task = tasks_.find({job, 0, step, index});
        bool const is_done = task != tasks_.end() && task->second.is_done;
        // All members of a gang end as done together, so one is enough.
        if (is_done && submitted.is_gang)
            return true;
        if (!is_done && !submitted.is_gang)
            return false;
    }
    return !submitted.is_gang;
}

void invariant_checker::on_start(run_history::key const& started,
                                 std::string const& agent,
                                 std::string const& payload,
                                 jobs::resources const& in_use,
                                 jobs::resources const& capacity)
{
    auto const& [run, executor] = started;
    ++start_count_;
    history_.record_start(started, agent);
    auto const run_name = to_text(run);
    auto const job = jobs_.find(run.task.job_id);
    if (job == jobs_.end())
        return report(
            fmt::format("{} was started, but its job was never submitted",
                        run_name),
            {started});
    auto const& submitted = job->second;
    if (submitted.payload != payload)
        report(fmt::format("{} was started with a different payload", run_name),
               {started});
    job->second.was_started = true;
    if (submitted.is_cancelled &&
        submitted.cancel_confirmed_at != core::time_point{} &&
        clock_.now() - submitted.cancel_confirmed_at >
            max_start_after_cancellation)
        report(
            fmt::format("{} was started long after its cancellation", run_name),
            {started});
    if (!in_use.fits_into(capacity)) {
        report(fmt::format("{} exceeds the capacity of {}: {} accelerators, {} "
                           "millicores in use",
                           run_name, executor, in_use.accelerators,
                           in_use.millicores),
               history_.running_on(executor));
    }
    if (run.task.step > 0 && !is_step_done(run.task.job_id, run.task.step - 1))
        report(fmt::format("{} was started before the previous step was done",
                           run_name),
               {started});
    auto& task = tasks_[run.task];
    for (auto const& [other_run, incarnation] : task.running) {
        report(fmt::format("{} was started on {} while {} runs on {}", run_name,
                           executor, to_text(other_run), incarnation),
               {{other_run, incarnation}, started});
    }
    if (task.is_done_acknowledged || submitted.is_completed)
        report(fmt::format("{} was started after the task was done", run_name),
               history_.runs_of(run.task));
    // A task may run again as long as the end of its run was not acknowledged.
    task.superseded = done_runs_[run.task];
    task.running[run] = executor;
}

void invariant_checker::on_evacuation(std::string const& data_centre)
{
    evacuated_since_.emplace(data_centre, clock_.now());
}

void invariant_checker::on_evacuation_end(std::string const& data_centre)
{
    evacuated_since_.erase(data_centre);
}

void invariant_checker::on_timely_start(jobs::run_id const& run,
                                        std::string const& data_centre)
{
    auto const found = evacuated_since_.find(data_centre);
    if (found == evacuated_since_.end() ||
        clock_.now() - found->second <= evacuation_bound)
        return;
    report(fmt::format("{} was started in {}, which was evacuated {} ms before",
                       to_text(run), data_centre,
                       (clock_.now() - found->second).count()));
}

void invariant_checker::on_stop(run_history::key const& stopped)
{
    history_.record_stop(stopped);
}

void invariant_checker::on_end(run_history::key const& ended,
                               jobs::run_end outcome)
{
    auto const& run = ended.run;
    history_.record_end(ended, outcome);
    auto& task = tasks_[run.task];
    task.running.erase(run);
    if (outcome != jobs::run_end::done)
        return;
    task.is_done = true;
    done_runs_[run.task].insert(run);
}

void invariant_checker::on_acknowledged(run_history::key const& ended,
                                        jobs::run_end outcome)
{
    auto const& run = ended.run;
    history_.record_acknowledgement(ended);
    if (outcome != jobs::run_end::done)
        return;
    auto& task = tasks_[run.task];
    task.is_done_acknowledged = true;
    if (task.superseded.contains(run))
        report(fmt::format("{} had ended as done when a later run was started",
                           to_text(run)),
               history_.runs_of(run.task));
}

void invariant_checker::on_incarnation_end(std::string const& executor)
{
    history_.record_executor_end(executor);
    for (auto& [id, task] : tasks_) {
        std::erase_if(task.running, [&](auto const& entry) {
            return entry.second == executor;
        });
    }
}

void invariant_checker::on_state(std::string const& job,
                                 std::string const& state)
{
    auto& submitted = jobs_[job];
    bool const is_final =
        state == "completed" || state == "failed" || state == "cancelled";
    if (submitted.is_completed && state != "completed" &&
        clock_.now() - submitted.completed_at > max_state_age)
        report(fmt::format("{} was completed, and its state is now {}", job,
                           state));
    submitted.is_final = submitted.is_final || is_final;
    if (state == "failed")
        report(fmt::format("{} failed, although its tasks cannot fail", job));
    if (state == "cancelled" && !submitted.is_cancelled)
        report(
            fmt::format("{} was cancelled, but no customer requested it", job));
    if (state != "completed" || submitted.is_completed)
        return;
    submitted.is_completed = true;
    submitted.completed_at = clock_.now();
    auto const steps = static_cast<std::int32_t>(submitted.step_sizes.size());
    for (std::int32_t step = 0; step < steps; ++step) {
        if (!is_step_done(job, step))
            report(fmt::format("{} was completed before its step {} was done",
                               job, step));
    }
}

void invariant_checker::on_unknown_job(std::string const& job)
{
    auto const& submitted = jobs_[job];
    if (!submitted.was_accepted || submitted.is_cancelled)
        return;
    auto const age = clock_.now() - submitted.accepted_at;
    if (age >= visibility_delay)
        report(fmt::format("{} was accepted {} ms ago, and is now unknown", job,
                           age.count()));
}

void invariant_checker::on_broken_response(std::string const& process,
                                           std::string const& request)
{
    report(fmt::format("{} broke off {} while it ended gracefully", process,
                       request));
}

void invariant_checker::check_final_state()
{
    for (auto const& [id, job] : jobs_) {
        if (job.was_started && !job.was_accepted && !job.may_be_accepted)
            report(fmt::format("{} was started although it was refused", id));
        if (job.was_accepted && !job.is_cancelled && !job.is_completed)
            report(fmt::format("{} was accepted and is not completed", id));
    }
}

} // namespace sequoiaroute::soak
