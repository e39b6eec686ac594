#include "scheduler/scheduler_core.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace sequoiaroute::scheduler {

namespace {

/// How long the other members of a gang may take to end by themselves after
/// one has ended.
constexpr core::duration gang_end_patience{1500};
/// A run that stands still is stopped if it had got less far than this...
constexpr std::int32_t stalled_restart_percent = 50;
/// ... or has stood still for so long.
constexpr core::duration stalled_limit{8000};
/// A smaller advance says little of the rate of a run.
constexpr std::int32_t rate_percent = 5;

jobs::occurrence_progress make_occurrence(jobs::job_spec const& spec)
{
    jobs::occurrence_progress occurrence;
    for (auto const& step : spec.steps) {
        occurrence.steps.emplace_back(
            static_cast<std::size_t>(std::max(step.task_count, 0)));
    }
    return occurrence;
}

bool is_occurrence_done(jobs::occurrence_progress const& occurrence)
{
    return std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                       [](auto const& tasks) {
                           return std::all_of(
                               tasks.begin(), tasks.end(),
                               [](auto const& task) { return task.is_done; });
                       });
}

jobs::task_progress* find_task(open_job& job, jobs::task_id const& id)
{
    auto const found = job.progress.occurrences.find(id.occurrence);
    if (found == job.progress.occurrences.end())
        return nullptr;
    auto& steps = found->second.steps;
    auto const step = static_cast<std::size_t>(id.step);
    auto const index = static_cast<std::size_t>(id.index);
    if (step >= steps.size() || index >= steps[step].size())
        return nullptr;
    return &steps[step][index];
}

jobs::step_spec const& step_of(open_job const& job, jobs::task_id const& id)
{
    return job.submission.spec.steps[static_cast<std::size_t>(id.step)];
}

step_key key_of(jobs::task_id const& id)
{
    return {id.occurrence, id.step};
}

/// @return where the checkpoint of a task is recorded; that of any member of a
///         gang is valid for all, so a gang has one
jobs::task_progress* checkpoint_holder(open_job& job, jobs::task_id id)
{
    if (step_of(job, id).is_gang)
        id.index = 0;
    return find_task(job, id);
}

/// @return how much longer a run is expected to take
core::duration estimate_remaining(open_job const& job, assignment const& run,
                                  core::time_point now)
{
    auto const& step = step_of(job, run.order.run.task);
    if (step.is_long_running)
        return core::duration(std::chrono::hours(1));
    auto const estimate = step.estimate;
    auto const advance = run.percent - run.first_percent;
    if (!run.seen_running_at || advance < rate_percent)
        return estimate * (100 - run.percent) / 100;
    auto const elapsed = now - *run.seen_running_at;
    return elapsed * (100 - run.percent) / advance;
}

} // namespace

job_change& scheduler_core::change_of(open_job& job)
{
    auto const& id = job.submission.job_id;
    auto const [position, is_new] =
        change_positions_.emplace(id, changes_.size());
    if (is_new)
        changes_.push_back({id, {}, {}, false});
    return changes_[position->second];
}

void scheduler_core::add_submission(jobs::submission submission,
                                    core::time_point now)
{
    auto const id = submission.job_id;
    auto& job = jobs_[id];
    if (!job.submission.job_id.empty())
        return;
    job.submission = std::move(submission);
    job.seen_at = now;
}

void scheduler_core::restore_progress(std::string const& job_id,
                                      jobs::job_progress progress,
                                      core::time_point now)
{
    auto const found = jobs_.find(job_id);
    if (found == jobs_.end())
        return;
    auto& job = found->second;
    job.progress = std::move(progress);
    if (jobs::is_final(job.progress.state))
        job.finished_at = now;
}

void scheduler_core::restore_order(jobs::run_order order, core::time_point now)
{
    auto const found = jobs_.find(order.run.task.job_id);
    if (found == jobs_.end())
        return;
    auto& job = found->second;
    auto const& task = order.run.task;
    if (static_cast<std::size_t>(task.step) >= job.submission.spec.steps.size())
        return;
    assignment run;
    run.task = step_of(job, task).task;
    run.percent_changed_at = now;
    run.ordered_at = now;
    run.order = std::move(order);
    job.assignments.insert_or_assign(run.order.run.task, std::move(run));
}

void scheduler_core::cancel(std::string const& job_id)
{
    auto const found = jobs_.find(job_id);
    if (found == jobs_.end() || jobs::is_final(found->second.progress.state))
        return;
    found->second.is_cancelled = true;
}

void scheduler_core::receive(jobs::worker_report report, core::time_point now)
{
    auto const agent = report.agent;
    auto& view = workers_[agent];
    if (view.report.worker.executor != report.worker.executor) {
        health_.forget(agent);
        speed_.forget(agent);
    }
    view.report = std::move(report);
    view.heard_at = now;
    observe_running(view.report, now);
    end_runs(view.report, now);
}

void scheduler_core::observe_running(jobs::worker_report const& report,
                                     core::time_point now)
{
    for (auto const& task : report.running) {
        auto const job = jobs_.find(task.run.task.job_id);
        if (job == jobs_.end())
            continue;
        auto const run = job->second.assignments.find(task.run.task);
        if (run == job->second.assignments.end() ||
            run->second.order.run != task.run)
            continue;
        auto& known = run->second;
        if (!known.seen_running_at || known.percent != task.percent)
            known.percent_changed_at = now;
        if (!known.seen_running_at) {
            known.seen_running_at = now;
            known.first_percent = task.percent;
        }
        known.percent = task.percent;
        known.observed_at = now;
    }
}

void scheduler_core::end_runs(jobs::worker_report const& report,
                              core::time_point now)
{
    std::map<jobs::run_id, jobs::ended_task const*> ended;
    for (auto const& task : report.ended)
        ended.emplace(task.run, &task);
    bool const is_gone = report.worker.state == jobs::worker_state::gone;
    for (auto& [id, job] : jobs_) {
        for (auto run = job.assignments.begin();
             run != job.assignments.end();) {
            auto const current = run++;
            auto const& order = current->second.order;
            if (order.agent != report.agent)
                continue;
            if (auto const end = ended.find(order.run); end != ended.end()) {
                end_run(job, current, end->second->end, end->second->checkpoint,
                        now);
            } else if (is_gone || order.executor != report.worker.executor) {
                end_run(job, current, jobs::run_end::lost, {}, now);
            }
        }
    }
}

void scheduler_core::end_run(open_job& job, assignments::iterator run,
                             jobs::run_end end, std::string const& checkpoint,
                             core::time_point now)
{
    auto const order = run->second.order;
    if (end == jobs::run_end::done)
        record_speed(job, run->second, now);
    job.assignments.erase(run);
    change_of(job).orders.push_back(
        {order_change::kind::remove, order, std::string(jobs::name(end))});
    auto* const task = find_task(job, order.run.task);
    if (task == nullptr)
        return;
    if (!checkpoint.empty())
        checkpoint_holder(job, order.run.task)->checkpoint = checkpoint;
    switch (end) {
    case jobs::run_end::done:
        health_.record_success(order.agent);
        mark_done(job, order.run.task);
        break;
    case jobs::run_end::failed:
        record_failure(job, order, now);
        break;
    case jobs::run_end::refused:
        health_.record_refusal(order.agent, now);
        break;
    default:
        break;
    }
    break_gang(job, order.run, end, now);
}

void scheduler_core::record_speed(open_job const& job, assignment const& run,
                                  core::time_point now)
{
    auto const& task = run.order.run.task;
    // The members of a gang end together, and a run from a checkpoint has less
    // to do; neither tells how fast its worker is.
    if (step_of(job, task).is_gang || !run.order.checkpoint.empty())
        return;
    speed_.record(run.order.agent, fmt::format("{}.{}", task.job_id, task.step),
                  now - run.ordered_at);
}

void scheduler_core::mark_done(open_job& job, jobs::task_id const& task)
{
    auto const& step = step_of(job, task);
    if (step.is_long_running)
        return;
    if (!step.is_gang) {
        find_task(job, task)->is_done = true;
        return;
    }
    // The end of one member stands for all members of the gang.
    auto& tasks = job.progress.occurrences[task.occurrence]
                      .steps[static_cast<std::size_t>(task.step)];
    for (auto& member : tasks)
        member.is_done = true;
}

void scheduler_core::record_failure(open_job& job, jobs::run_order const& order,
                                    core::time_point now)
{
    auto const& id = order.run.task;
    auto const& step = step_of(job, id);
    health_.record_failure(order.agent, id.job_id, now);
    job.failed_on[key_of(id)][order.agent] = now;
    if (step.is_long_running)
        return;
    if (!step.is_gang) {
        ++find_task(job, id)->failures;
    } else {
        // Several members of one run may fail; that is one failed attempt.
        auto& tasks = job.progress.occurrences[id.occurrence]
                          .steps[static_cast<std::size_t>(id.step)];
        auto& counted =
            job.progress.occurrences[id.occurrence].failed_gang_runs[id.step];
        if (!counted.insert(order.run.run).second)
            return;
        for (auto& member : tasks)
            ++member.failures;
    }
    if (find_task(job, id)->failures < job.submission.terms.max_attempts)
        return;
    job.progress.state = jobs::job_state::failed;
}

void scheduler_core::break_gang(open_job& job, jobs::run_id const& ended,
                                jobs::run_end end, core::time_point now)
{
    if (!step_of(job, ended.task).is_gang)
        return;
    for (auto& [task, run] : job.assignments) {
        if (key_of(task) != key_of(ended.task))
            continue;
        if (!run.gang_broken_at)
            run.gang_broken_at = now;
        run.is_gang_over = run.is_gang_over || end == jobs::run_end::broken;
    }
}

void scheduler_core::stop(open_job& job, assignment& run,
                          std::string_view reason)
{
    if (run.is_stopping())
        return;
    run.order.is_to_stop = true;
    change_of(job).orders.push_back(
        {order_change::kind::stop, run.order, std::string(reason)});
}

void scheduler_core::stop_step(open_job& job, jobs::task_id const& member,
                               std::string_view reason)
{
    bool const is_gang = step_of(job, member).is_gang;
    for (auto& [task, run] : job.assignments) {
        if (task == member || (is_gang && key_of(task) == key_of(member)))
            stop(job, run, reason);
    }
}

void scheduler_core::stop_all(open_job& job, std::string_view reason)
{
    for (auto& [task, run] : job.assignments)
        stop(job, run, reason);
}

std::vector<job_change> scheduler_core::decide(moment const& at)
{
    end_runs_of_lost_workers(at);
    for (auto& [id, job] : jobs_) {
        if (!jobs::is_final(job.progress.state) && !job.is_cancelled)
            open_occurrences(job, at.wall_ms);
    }
    stop_misplaced(at.now);
    place(at.now);
    for (auto& [id, job] : jobs_)
        settle(job, at.now);
    retire(at.now);
    change_positions_.clear();
    for (auto& change : changes_) {
        if (!change.is_retired)
            change.progress = jobs_.at(change.job_id).progress;
    }
    return std::exchange(changes_, {});
}

void scheduler_core::end_runs_of_lost_workers(moment const& at)
{
    for (auto& [id, job] : jobs_) {
        for (auto run = job.assignments.begin();
             run != job.assignments.end();) {
            auto const current = run++;
            if (has_surely_ended(current->second, at))
                end_run(job, current, jobs::run_end::lapsed, {}, at.now);
        }
    }
}

bool scheduler_core::has_surely_ended(assignment const& run,
                                      moment const& at) const
{
    auto const worker = workers_.find(run.order.agent);
    if (worker == workers_.end())
        return false;
    auto const silence = at.reports_confirmed_at - worker->second.heard_at;
    // A member ends as broken after another one has ended. The members end
    // together, so those on silent workers have ended as well.
    if (run.is_gang_over && silence > limits_.report_fresh)
        return true;
    return silence > limits_.lost_after;
}

void scheduler_core::open_occurrences(open_job& job, std::int64_t wall_ms)
{
    auto const& spec = job.submission.spec;
    for (std::int64_t number = 0; number < spec.occurrences(); ++number) {
        auto const due = spec.first_due_ms + number * spec.interval.count();
        if (spec.is_repeated() && wall_ms < due)
            return;
        if (job.progress.finished_occurrences.contains(number))
            continue;
        job.progress.occurrences.try_emplace(number, make_occurrence(spec));
    }
}

void scheduler_core::close_occurrences(open_job& job)
{
    auto& open = job.progress.occurrences;
    for (auto entry = open.begin(); entry != open.end();) {
        auto const current = entry++;
        if (!is_occurrence_done(current->second))
            continue;
        job.progress.finished_occurrences.insert(current->first);
        open.erase(current);
        change_of(job);
    }
}

void scheduler_core::settle(open_job& job, core::time_point now)
{
    auto& state = job.progress.state;
    if (state == jobs::job_state::failed)
        stop_all(job, "job failed");
    if (job.is_cancelled && !jobs::is_final(state)) {
        stop_all(job, "cancelled");
        state = jobs::job_state::cancelled;
        change_of(job);
    }
    if (!jobs::is_final(state)) {
        close_occurrences(job);
        auto const finished =
            static_cast<std::int64_t>(job.progress.finished_occurrences.size());
        if (finished == job.submission.spec.occurrences()) {
            state = jobs::job_state::completed;
            change_of(job);
        } else if (state == jobs::job_state::queued &&
                   job.progress.has_started) {
            state = jobs::job_state::running;
            change_of(job);
        }
    }
    if (jobs::is_final(state)) {
        job.progress.occurrences.clear();
        if (!job.finished_at)
            job.finished_at = now;
    }
}

void scheduler_core::stop_misplaced(core::time_point now)
{
    for (auto& [id, job] : jobs_) {
        for (auto& [task, run] : job.assignments) {
            if (run.is_stopping())
                continue;
            if (run.gang_broken_at &&
                now - *run.gang_broken_at > gang_end_patience) {
                stop(job, run, "another member of the gang has ended");
                continue;
            }
            if (is_stalled(job, run) &&
                (run.percent < stalled_restart_percent ||
                 run.observed_at - run.percent_changed_at > stalled_limit)) {
                job.failed_on[key_of(task)][run.order.agent] = now;
                stop_step(job, task, "stands still");
                continue;
            }
            auto const worker = workers_.find(run.order.agent);
            if (worker == workers_.end())
                continue;
            auto const& view = worker->second;
            if (view.report.worker.state != jobs::worker_state::draining)
                continue;
            auto const leaves_at = view.heard_at + view.report.worker.remaining;
            if (now + estimate_remaining(job, run, now) > leaves_at)
                stop_step(job, task, "worker leaves before the end");
        }
    }
}

void scheduler_core::place(core::time_point now)
{
    auto const waiting = collect_waiting(jobs_, *rules_, now);
    if (waiting.empty())
        return;
    auto const running = collect_running(jobs_, now);
    std::vector<placement::waiting_group> waiting_groups;
    waiting_groups.reserve(waiting.size());
    for (auto const& entry : waiting)
        waiting_groups.push_back(entry.group);
    std::vector<placement::running_group> running_groups;
    running_groups.reserve(running.size());
    for (auto const& entry : running)
        running_groups.push_back(entry.group);
    auto const result =
        placement::run_round(collect_workers(workers_, jobs_, health_, speed_,
                                             now, limits_.report_fresh),
                             waiting_groups, running_groups);
    for (auto const& placed : result.placed) {
        auto const& tasks = waiting[placed.group].tasks;
        auto& job = jobs_.at(tasks[0].job_id);
        bool const is_gang = waiting[placed.group].group.is_gang;
        std::int64_t gang_run = 0;
        if (is_gang) {
            for (auto const& task : tasks) {
                gang_run =
                    std::max(gang_run, find_task(job, task)->last_run + 1);
            }
        }
        for (std::size_t index = 0; index < placed.agents.size(); ++index) {
            auto const run =
                is_gang ? gang_run : find_task(job, tasks[index])->last_run + 1;
            start(tasks[index], placed.agents[index], run, now);
        }
    }
    for (auto const victim : result.stopped) {
        for (auto const& task : running[victim].tasks) {
            auto& job = jobs_.at(task.job_id);
            stop(job, job.assignments.at(task), "gives way to urgent work");
        }
    }
}

void scheduler_core::start(jobs::task_id const& task, std::string const& agent,
                           std::int64_t run, core::time_point now)
{
    auto& job = jobs_.at(task.job_id);
    auto& known = *find_task(job, task);
    known.last_run = run;
    assignment started;
    started.task = step_of(job, task).task;
    started.percent_changed_at = now;
    started.ordered_at = now;
    started.order = {agent,
                     workers_.at(agent).report.worker.executor,
                     {task, run},
                     job.submission.spec.payload,
                     checkpoint_holder(job, task)->checkpoint,
                     false};
    job.progress.has_started = true;
    change_of(job).orders.push_back(
        {order_change::kind::start, started.order, {}});
    job.assignments.insert_or_assign(task, std::move(started));
}

void scheduler_core::retire(core::time_point now)
{
    for (auto entry = jobs_.begin(); entry != jobs_.end();) {
        auto const current = entry++;
        auto& job = current->second;
        if (!job.finished_at || !job.assignments.empty() ||
            now - *job.finished_at < limits_.retention)
            continue;
        change_of(job).is_retired = true;
        jobs_.erase(current);
    }
}

} // namespace sequoiaroute::scheduler
