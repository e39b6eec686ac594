#include "scheduler/run_end_recorder.hpp"

#include "scheduler/job_tasks.hpp"

namespace sequoiaroute::scheduler {

namespace {

/// @return the progress of all tasks of the step that a task belongs to
std::vector<jobs::task_progress>& tasks_of_step(open_job& job,
                                                jobs::task_id const& id)
{
    return job.progress.occurrences.at(id.occurrence)
        .steps[static_cast<std::size_t>(id.step)];
}

void add_unconfirmed_run(jobs::task_progress& task, std::int64_t run)
{
    auto& runs = task.unconfirmed_runs;
    runs.push_back(run);
    if (runs.size() > jobs::max_unconfirmed_runs)
        runs.erase(runs.begin());
}

} // namespace

void run_end_recorder::record(open_job& job, assignments::iterator run,
                              jobs::run_end end, std::string const& checkpoint,
                              core::time_point now)
{
    auto const order = run->second.order;
    auto const reported_checkpoint = run->second.checkpoint;
    if (end == jobs::run_end::done)
        statistics_.observe_success(job, run->second, now);
    index_.remove(order.agent, order.run.task);
    job.assignments.erase(run);
    changes_.add_order(job, order_change::action_type::remove, order,
                       jobs::name(end));
    auto* const task = find_task(job, order.run.task);
    if (task == nullptr)
        return;
    auto& saved = find_checkpoint_owner(job, order.run.task)->checkpoint;
    if (!checkpoint.empty())
        saved = checkpoint;
    else if (!reported_checkpoint.empty() && saved == order.checkpoint)
        saved = reported_checkpoint;
    switch (end) {
    case jobs::run_end::done:
        statistics_.health.record_success(order.agent);
        mark_done(job, order.run.task);
        break;
    case jobs::run_end::failed:
        record_failure(job, order.agent, order.run, now);
        break;
    case jobs::run_end::lost:
    case jobs::run_end::lapsed:
        add_unconfirmed_run(*task, order.run.run);
        break;
    case jobs::run_end::refused:
        statistics_.health.record_refusal(order.agent, now);
        break;
    default:
        break;
    }
    mark_gang_broken(job, order.run, now);
}

bool run_end_recorder::record_late(open_job& job, std::string const& agent,
                                   jobs::ended_run const& late,
                                   core::time_point now)
{
    auto* const task = find_task(job, late.run.task);
    if (task == nullptr ||
        std::erase(task->unconfirmed_runs, late.run.run) == 0)
        return false;
    changes_.find_or_add(job);
    // A newer run may have saved more.
    if (!late.checkpoint.empty() && task->last_run == late.run.run)
        find_checkpoint_owner(job, late.run.task)->checkpoint = late.checkpoint;
    if (late.end == jobs::run_end::done)
        mark_done(job, late.run.task);
    else if (late.end == jobs::run_end::failed)
        record_failure(job, agent, late.run, now);
    return true;
}

void run_end_recorder::mark_done(open_job& job, jobs::task_id const& task)
{
    auto const& step = step_of(job, task);
    if (step.is_long_running)
        return;
    if (!step.is_gang) {
        find_task(job, task)->is_done = true;
        return;
    }
    // A gang is done as soon as one of its members is.
    for (auto& member : tasks_of_step(job, task))
        member.is_done = true;
}

void run_end_recorder::record_failure(open_job& job, std::string const& agent,
                                      jobs::run_id const& failed,
                                      core::time_point now)
{
    auto const& id = failed.task;
    auto const& step = step_of(job, id);
    statistics_.health.record_failure(agent, id.job_id, now);
    job.failed_at_by_agent[step_key_of(id)][agent] = now;
    if (step.is_long_running)
        return;
    if (!step.is_gang) {
        ++find_task(job, id)->failures;
    } else {
        // If several members of one gang run fail, that is one failed attempt.
        auto& counted_runs =
            job.progress.occurrences[id.occurrence].failed_gang_runs[id.step];
        if (!counted_runs.insert(failed.run).second)
            return;
        for (auto& member : tasks_of_step(job, id)) {
            ++member.failures;
            std::erase(member.unconfirmed_runs, failed.run);
        }
    }
    if (find_task(job, id)->failures < job.submission.parameters.max_attempts)
        return;
    job.progress.state = jobs::job_state::failed;
}

void run_end_recorder::mark_gang_broken(open_job& job,
                                        jobs::run_id const& ended,
                                        core::time_point now)
{
    if (!step_of(job, ended.task).is_gang)
        return;
    for (auto& [task, run] : job.assignments) {
        if (step_key_of(task) != step_key_of(ended.task))
            continue;
        if (!run.gang_broken_at)
            run.gang_broken_at = now;
    }
}

} // namespace sequoiaroute::scheduler
