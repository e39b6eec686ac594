#include "soak/invariant_checker.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::soak {

namespace {

/// A start later than this after the confirmation of a cancellation is one too
/// many, also if its order was carried out late.
constexpr core::duration cancel_limit{12'000};
/// An entry tells a state from a copy that is not older than this.
constexpr core::duration oldest_state{5000};

} // namespace

void invariant_checker::report(std::string text)
{
    broken_.push_back(std::move(text));
}

bool invariant_checker::is_step_done(std::string const& job,
                                     std::int32_t step) const
{
    auto const& known = jobs_.at(job);
    auto const size = known.step_sizes[static_cast<std::size_t>(step)];
    for (std::int32_t index = 0; index < size; ++index) {
        auto const found = tasks_.find({job, 0, step, index});
        bool const is_done = found != tasks_.end() && found->second.is_done;
        // One member that is done stands for its gang.
        if (is_done && known.is_gang)
            return true;
        if (!is_done && !known.is_gang)
            return false;
    }
    return !known.is_gang;
}

void invariant_checker::on_start(std::string const& executor,
                                 jobs::run_id const& run,
                                 std::string const& payload,
                                 jobs::resources const& in_use,
                                 jobs::resources const& capacity)
{
    ++start_count_;
    auto const text = to_text(run);
    auto const job = jobs_.find(run.task.job_id);
    if (job == jobs_.end())
        return report(fmt::format("{} was started, which nobody sent", text));
    auto const& known = job->second;
    if (known.payload != payload)
        report(fmt::format("{} was started with another payload", text));
    job->second.was_started = true;
    if (known.is_cancelled && known.cancel_confirmed_at != core::time_point{} &&
        clock_.now() - known.cancel_confirmed_at > cancel_limit)
        report(fmt::format("{} was started long after its cancellation", text));
    if (!in_use.fits_into(capacity)) {
        report(fmt::format(
            "{} brings {} over its capacity: {} accelerators, {} "
            "millicores",
            text, executor, in_use.accelerators, in_use.millicores));
    }
    if (run.task.step > 0 && !is_step_done(run.task.job_id, run.task.step - 1))
        report(fmt::format("{} was started before the step before it", text));
    auto& task = tasks_[run.task];
    for (auto const& [other, life] : task.running) {
        report(fmt::format("{} was started on {} while {} runs on {}", text,
                           executor, to_text(other), life));
    }
    if (task.is_done_noted || known.is_completed)
        report(fmt::format("{} was started after the task was done", text));
    // It may be run again if nobody ever notes the end.
    task.repeated = done_runs_[run.task];
    task.running[run] = executor;
}

void invariant_checker::on_end(jobs::run_id const& run, jobs::run_end how)
{
    auto& task = tasks_[run.task];
    task.running.erase(run);
    if (how != jobs::run_end::done)
        return;
    task.is_done = true;
    done_runs_[run.task].insert(run);
}

void invariant_checker::on_acknowledged(jobs::run_id const& run,
                                        jobs::run_end how)
{
    if (how != jobs::run_end::done)
        return;
    auto& task = tasks_[run.task];
    task.is_done_noted = true;
    if (task.repeated.contains(run))
        report(fmt::format("{} had ended as done when it was run again",
                           to_text(run)));
}

void invariant_checker::on_life_end(std::string const& executor)
{
    for (auto& [id, task] : tasks_) {
        std::erase_if(task.running, [&](auto const& entry) {
            return entry.second == executor;
        });
    }
}

void invariant_checker::on_state(std::string const& job,
                                 std::string const& state)
{
    auto& known = jobs_[job];
    bool const is_final =
        state == "completed" || state == "failed" || state == "cancelled";
    if (known.is_completed && state != "completed" &&
        clock_.now() - known.completed_at > oldest_state)
        report(fmt::format("{} was completed, and now is {}", job, state));
    known.is_final = known.is_final || is_final;
    if (state == "failed")
        report(fmt::format("{} failed without cause", job));
    if (state == "cancelled" && !known.is_cancelled)
        report(fmt::format("{} was cancelled by nobody", job));
    if (state != "completed" || known.is_completed)
        return;
    known.is_completed = true;
    known.completed_at = clock_.now();
    auto const steps = static_cast<std::int32_t>(known.step_sizes.size());
    for (std::int32_t step = 0; step < steps; ++step) {
        if (!is_step_done(job, step))
            report(
                fmt::format("{} was completed before its step {}", job, step));
    }
}

void invariant_checker::on_unknown_job(std::string const& job)
{
    auto const& known = jobs_[job];
    if (known.was_accepted && !known.is_cancelled)
        report(fmt::format("{} was accepted, and now is not known", job));
}

void invariant_checker::on_broken_answer(std::string const& process,
                                         std::string const& what)
{
    report(fmt::format("{} broke off {} while it ended gracefully", process,
                       what));
}

void invariant_checker::check_rest()
{
    for (auto const& [id, job] : jobs_) {
        if (job.was_started && !job.was_accepted && !job.may_be_stored)
            report(fmt::format("{} was started although it was refused", id));
        if (job.was_accepted && !job.is_cancelled && !job.is_completed)
            report(fmt::format("{} was accepted and is not completed", id));
    }
}

} // namespace sequoiaroute::soak
