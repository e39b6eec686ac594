#include "scheduler/scheduler_core.hpp"

#include "scheduler/job_tasks.hpp"

#include <algorithm>
#include <utility>

namespace sequoiaroute::scheduler {

namespace {

/// How long the other members of a gang may take to end by themselves after
/// one has ended.
constexpr core::duration gang_end_patience{1500};
/// A run that stands still is stopped if it had got less far than this...
constexpr std::int32_t stalled_restart_percent = 50;
/// ... or has stood still for so long.
constexpr core::duration stalled_limit{8000};
/// Patient groups that are so close to being late use the reserve.
constexpr core::duration patient_reserve_time{3000};
/// A smaller advance says little of the rate of a run.
constexpr std::int32_t rate_percent = 5;

/// @return how much longer a run is expected to take
core::duration estimate_remaining(open_job const& job, assignment const& run,
                                  run_time_estimator const& run_times,
                                  core::time_point now)
{
    auto const& step = step_of(job, run.order.run.task);
    if (step.is_long_running)
        return core::duration(std::chrono::hours(1));
    auto const advance = run.percent - run.first_percent;
    if (!run.seen_running_at || advance < rate_percent) {
        auto const whole =
            run_times.expected(job.submission.parameters.queue, step.estimate);
        return whole * (100 - run.percent) / 100;
    }
    // The percent is as old as the report that had it.
    auto const observed_for = run.observed_at - *run.seen_running_at;
    auto const left_then = observed_for * (100 - run.percent) / advance;
    return left_then - (now - run.observed_at);
}

} // namespace

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
    assign(job, std::move(order), now);
}

void scheduler_core::assign(open_job& job, jobs::run_order order,
                            core::time_point now)
{
    auto const task = order.run.task;
    assignment run;
    run.task = step_of(job, task).requested_resources();
    run.percent_changed_at = now;
    run.ordered_at = now;
    run.order = std::move(order);
    runs_by_agent_.add(run.order.agent, task);
    job.assignments.insert_or_assign(task, std::move(run));
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
    // A report that was sent directly may arrive before an older stored one.
    if (report.written_at < view.report.written_at)
        return;
    if (view.report.worker.executor != report.worker.executor) {
        lessons_.forget(agent);
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
        known.share = task.share;
        known.observed_at = now;
        lessons_.observe_progress(job->second, known);
    }
}

void scheduler_core::end_runs(jobs::worker_report const& report,
                              core::time_point now)
{
    std::map<jobs::run_id, jobs::ended_run const*> ended;
    for (auto const& task : report.ended)
        ended.emplace(task.run, &task);
    bool const is_gone = report.worker.state == jobs::worker_state::gone;
    auto const& present = report.worker.executor;
    for (auto const& task : runs_by_agent_.tasks_of(report.agent)) {
        auto& job = jobs_.at(task.job_id);
        auto const run = job.assignments.find(task);
        auto const& order = run->second.order;
        if (auto const end = ended.find(order.run); end != ended.end()) {
            ends_.record(job, run, end->second->end, end->second->checkpoint,
                         now);
        } else if ((is_gone && order.executor == present) ||
                   present.replaces(order.executor)) {
            ends_.record(job, run, jobs::run_end::lost, {}, now);
        }
    }
}

void scheduler_core::stop(open_job& job, assignment& run,
                          std::string_view reason)
{
    if (run.is_stopping())
        return;
    run.order.is_stop_requested = true;
    changes_.add_order(job, order_change::kind::stop, run.order, reason);
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
    auto changes = changes_.take();
    for (auto& change : changes) {
        if (!change.is_retired)
            change.progress = jobs_.at(change.job_id).progress;
    }
    return changes;
}

void scheduler_core::end_runs_of_lost_workers(moment const& at)
{
    for (auto& [id, job] : jobs_) {
        for (auto run = job.assignments.begin();
             run != job.assignments.end();) {
            auto const current = run++;
            if (has_surely_ended(current->second, at))
                ends_.record(job, current, jobs::run_end::lapsed, {}, at.now);
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
        changes_.of(job);
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
        changes_.of(job);
    }
    if (!jobs::is_final(state)) {
        close_occurrences(job);
        auto const finished =
            static_cast<std::int64_t>(job.progress.finished_occurrences.size());
        if (finished == job.submission.spec.occurrences()) {
            state = jobs::job_state::completed;
            changes_.of(job);
        } else if (state == jobs::job_state::queued &&
                   job.progress.has_started) {
            state = jobs::job_state::running;
            changes_.of(job);
        }
    }
    if (jobs::is_final(state)) {
        job.progress.occurrences.clear();
        if (!job.finished_at) {
            job.finished_at = now;
            changes_.of(job).has_just_finished = true;
        }
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
            if (now + estimate_remaining(job, run, lessons_.run_times, now) >
                leaves_at)
                stop_step(job, task, "worker leaves before the end");
        }
    }
}

void scheduler_core::place(core::time_point now)
{
    advice_requests_.clear();
    auto waiting = collect_waiting(jobs_, *rules_, lessons_.run_times, now);
    if (waiting.empty())
        return;
    reserve_for_urgent(waiting, now);
    // Only urgent groups may stop others.
    bool const may_preempt =
        std::any_of(waiting.begin(), waiting.end(), [](auto const& entry) {
            return entry.group.preemption_budget > 0;
        });
    auto const running = may_preempt ? collect_running(jobs_, now)
                                     : std::vector<running_tasks>();
    std::vector<placement::waiting_group> waiting_groups;
    waiting_groups.reserve(waiting.size());
    for (auto const& entry : waiting)
        waiting_groups.push_back(entry.group);
    std::vector<placement::running_group> running_groups;
    running_groups.reserve(running.size());
    for (auto const& entry : running)
        running_groups.push_back(entry.group);
    auto const workers =
        collect_workers(workers_, jobs_, lessons_.health, lessons_.speed, now,
                        limits_.report_fresh);
    auto const result =
        placement::run_round(workers, waiting_groups, running_groups);
    std::vector<std::vector<std::string>> agents(waiting.size());
    for (auto const& placed : result.placed)
        agents[placed.group] = placed.agents;
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        if (has_tickets(waiting[index], agents[index], workers, now))
            start_group(waiting[index], agents[index], now);
    }
    for (auto const victim : result.stopped) {
        for (auto const& task : running[victim].tasks) {
            auto& job = jobs_.at(task.job_id);
            stop(job, job.assignments.at(task), "gives way to urgent work");
        }
    }
}

/// Lets patient groups leave room for urgent ones, unless they are about to be
/// late themselves.
void scheduler_core::reserve_for_urgent(std::vector<waiting_tasks>& waiting,
                                        core::time_point now)
{
    std::map<std::string, std::int64_t> urgent;
    for (auto const& [id, job] : jobs_) {
        if (!job.submission.parameters.is_urgent())
            continue;
        for (auto const& [task, run] : job.assignments)
            urgent[job.submission.parameters.service] += run.task.accelerators;
    }
    for (auto const& entry : waiting) {
        if (entry.group.priority == 0) {
            urgent[entry.group.service] +=
                static_cast<std::int64_t>(entry.group.count) *
                entry.group.task.accelerators;
        }
    }
    std::map<std::string, std::int64_t> capacity;
    for (auto const& [agent, view] : workers_) {
        capacity[view.report.worker.service] +=
            view.report.worker.capacity.accelerators;
    }
    for (auto const& [service, accelerators] : capacity)
        urgent_reserve_.observe(service, urgent[service], now);
    for (auto& entry : waiting) {
        bool const can_wait =
            entry.group.priority > 0 && entry.order_class > 1 &&
            (now + patient_reserve_time < entry.latest_start ||
             now > entry.latest_start);
        if (can_wait) {
            entry.group.accelerator_headroom = urgent_reserve_.wanted(
                entry.group.service, capacity[entry.group.service]);
        }
    }
}

/// Asks for the tickets that are missing.
/// @return whether the tasks may be started where they were placed
bool scheduler_core::has_tickets(waiting_tasks const& tasks,
                                 std::span<std::string const> agents,
                                 std::span<placement::worker const> workers,
                                 core::time_point now)
{
    auto const& job = jobs_.at(tasks.tasks.front().job_id);
    if (!job.submission.parameters.needs_tickets())
        return true;
    auto request = plan_advice(job, tasks, agents, workers, now);
    if (!request)
        return true;
    advice_requests_.push_back(std::move(*request));
    auto const advice = job.advice.find(advice_requests_.back().step);
    return advice != job.advice.end() &&
           std::all_of(agents.begin(), agents.end(), [&](auto const& agent) {
               auto const& executor = workers_.at(agent).report.worker.executor;
               return advice->second.ticket(executor.id,
                                            oldest_ticket(job, now));
           });
}

void scheduler_core::start_group(waiting_tasks const& tasks,
                                 std::span<std::string const> agents,
                                 core::time_point now)
{
    auto& job = jobs_.at(tasks.tasks.front().job_id);
    std::int64_t gang_run = 0;
    if (tasks.group.is_gang) {
        for (auto const& task : tasks.tasks)
            gang_run = std::max(gang_run, find_task(job, task)->last_run + 1);
    }
    for (std::size_t index = 0; index < agents.size(); ++index) {
        auto const& task = tasks.tasks[index];
        auto const run =
            tasks.group.is_gang ? gang_run : find_task(job, task)->last_run + 1;
        start(task, agents[index], run, now);
    }
}

void scheduler_core::receive_advice(advice_request const& request,
                                    advice_service::tickets const& tickets,
                                    core::time_point now)
{
    auto const found = jobs_.find(request.job_id);
    if (found != jobs_.end())
        found->second.advice[request.step].record(request.executors, tickets,
                                                  now);
}

void scheduler_core::start(jobs::task_id const& task, std::string const& agent,
                           std::int64_t run, core::time_point now)
{
    auto& job = jobs_.at(task.job_id);
    auto& known = *find_task(job, task);
    known.last_run = run;
    auto const& executor = workers_.at(agent).report.worker.executor;
    auto const& step = step_of(job, task);
    jobs::run_order order{agent,
                          executor,
                          {task, run},
                          job.submission.spec.payload,
                          checkpoint_holder(job, task)->checkpoint,
                          false,
                          job.submission.parameters.is_urgent(),
                          "",
                          step.response_target,
                          step.is_filler};
    if (job.submission.parameters.needs_tickets()) {
        order.ticket = job.advice.at(key_of(task))
                           .ticket(executor.id, oldest_ticket(job, now))
                           .value_or("");
    }
    job.progress.has_started = true;
    changes_.add_order(job, order_change::kind::start, order, {});
    assign(job, std::move(order), now);
}

void scheduler_core::retire(core::time_point now)
{
    for (auto entry = jobs_.begin(); entry != jobs_.end();) {
        auto const current = entry++;
        auto& job = current->second;
        if (!job.finished_at || !job.assignments.empty() ||
            now - *job.finished_at < limits_.retention)
            continue;
        changes_.of(job).is_retired = true;
        jobs_.erase(current);
    }
}

} // namespace sequoiaroute::scheduler
