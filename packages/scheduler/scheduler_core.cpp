#include "scheduler/scheduler_core.hpp"

#include "scheduler/job_tasks.hpp"
#include "scheduler/remaining_time.hpp"
#include "scheduler/run_locality.hpp"
#include "scheduler/worker_collector.hpp"

#include <algorithm>
#include <utility>

namespace sequoiaroute::scheduler {

namespace {

/// The time in which the other members of a gang should end by themselves after
/// one has ended; then they are stopped.
constexpr core::duration gang_end_timeout{1500};
/// A stalled run is stopped if its progress, in percent, is below this...
constexpr std::int32_t stall_restart_max_percent = 50;
/// ... or once it has made no progress for longer than this.
constexpr core::duration stall_time_limit{8000};
/// Non-urgent groups this close to their latest start may use the urgent
/// headroom.
constexpr core::duration headroom_use_margin{3000};
/// The reason of a shorter wait is not logged; under load most tasks wait for
/// seconds.
constexpr core::duration min_logged_wait{10'000};

} // namespace

void scheduler_core::add_submission(jobs::submission submission,
                                    core::time_point accepted_at)
{
    auto const id = submission.job_id;
    auto& job = jobs_[id];
    if (!job.submission.job_id.empty())
        return;
    job.submission = std::move(submission);
    job.accepted_at = accepted_at;
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
    auto const task = order.run.task;
    if (static_cast<std::size_t>(task.step) >= job.submission.spec.steps.size())
        return;
    restore_run_number(job, order.run);
    add_assignment(job, std::move(order), now);
    job.assignments.at(task).is_restored = true;
}

/// An earlier version of the decider stored orders before the progress that
/// belongs to them. The end of such a run counts, and its number is not used
/// again.
void scheduler_core::restore_run_number(open_job& job, jobs::run_id const& run)
{
    auto const occurrence = run.task.occurrence;
    auto const& spec = job.submission.spec;
    if (occurrence < 0 || occurrence >= spec.occurrences() ||
        jobs::is_final(job.progress.state) ||
        job.progress.finished_occurrences.contains(occurrence))
        return;
    job.progress.occurrences.try_emplace(occurrence, make_occurrence(spec));
    if (auto* const task = find_task(job, run.task); task != nullptr)
        task->last_run = std::max(task->last_run, run.run);
}

void scheduler_core::add_assignment(open_job& job, jobs::run_order order,
                                    core::time_point now)
{
    auto const task = order.run.task;
    assignment run;
    run.resources = step_of(job, task).requested_resources();
    run.percent_changed_at = now;
    run.ordered_at = now;
    if (auto const worker = workers_.find(order.agent);
        worker != workers_.end())
        run.was_ordered_cold = worker->second.cold_until > now;
    run.order = std::move(order);
    runs_by_agent_.add(run.order.agent, task);
    job.assignments.insert_or_assign(task, std::move(run));
}

void scheduler_core::cancel(std::string const& job_id)
{
    auto const found = jobs_.find(job_id);
    if (found == jobs_.end() || jobs::is_final(found->second.progress.state))
        return;
    found->second.is_cancel_requested = true;
}

void scheduler_core::receive_report(jobs::worker_report report,
                                    core::time_point now)
{
    auto const agent = report.agent;
    auto& view = workers_[agent];
    // A report sent directly may arrive before an older one from the store.
    if (report.written_at < view.report.written_at)
        return;
    if (view.report.worker.executor != report.worker.executor) {
        statistics_.health.discard_worker(agent);
        // An executor that restarts on its machine is as fast as before.
        bool const is_first = view.report.agent.empty();
        bool const is_same_kind =
            view.report.worker.labels == report.worker.labels &&
            view.report.worker.capacity == report.worker.capacity;
        if (!is_first && !is_same_kind)
            statistics_.speed.discard_worker(agent);
    }
    if (view.first_executor.id.empty())
        view.first_executor = report.worker.executor;
    view.report = std::move(report);
    view.last_report_at = now;
    view.cold_until = now + view.report.worker.cold_for;
    record_running(view.report, now);
    record_ends(view.report, now);
}

void scheduler_core::record_running(jobs::worker_report const& report,
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
        auto& tracked_run = run->second;
        if (tracked_run.rack.empty()) {
            note_rack(job->second, task.run.task, report.worker.rack,
                      limits_.locality.remote_factor);
        }
        if (!tracked_run.first_seen_at || tracked_run.percent != task.percent)
            tracked_run.percent_changed_at = now;
        if (!tracked_run.first_seen_at) {
            tracked_run.first_seen_at = now;
            tracked_run.first_seen_percent = task.percent;
        }
        tracked_run.percent = task.percent;
        tracked_run.checkpoint = task.checkpoint;
        tracked_run.share = task.share;
        tracked_run.last_seen_at = now;
        statistics_.observe_progress(job->second, tracked_run);
    }
}

void scheduler_core::record_ends(jobs::worker_report const& report,
                                 core::time_point now)
{
    std::map<jobs::run_id, jobs::ended_run const*> ended;
    for (auto const& task : report.ended) {
        ended.emplace(task.run, &task);
        record_late_end(report.agent, task, now);
    }
    bool const has_executor_ended =
        report.worker.state == jobs::worker_state::gone;
    auto const& current_executor = report.worker.executor;
    // The first report may be older than the orders that the decider before has
    // stored, and the time of day may have been set back since.
    bool const has_changed =
        current_executor != workers_.at(report.agent).first_executor;
    for (auto const& task : runs_by_agent_.tasks_of(report.agent)) {
        auto& job = jobs_.at(task.job_id);
        auto const run = job.assignments.find(task);
        auto const& order = run->second.order;
        if (auto const end = ended.find(order.run); end != ended.end()) {
            end_recorder_.record(job, run, end->second->end,
                                 end->second->checkpoint, now);
        } else if ((has_executor_ended && order.executor == current_executor) ||
                   (has_changed && current_executor.replaces(order.executor))) {
            end_recorder_.record(job, run, jobs::run_end::lost, {}, now);
        }
    }
}

void scheduler_core::record_late_end(std::string const& agent,
                                     jobs::ended_run const& late,
                                     core::time_point now)
{
    auto const found = jobs_.find(late.run.task.job_id);
    if (found == jobs_.end() || jobs::is_final(found->second.progress.state))
        return;
    auto& job = found->second;
    if (!end_recorder_.record_late(job, agent, late, now))
        return;
    auto const run = job.assignments.find(late.run.task);
    if (find_task(job, late.run.task)->is_done && run != job.assignments.end())
        stop_step(job, late.run.task, "an earlier run has completed");
}

void scheduler_core::stop_run(open_job& job, assignment& run,
                              std::string_view reason)
{
    if (run.is_stopping())
        return;
    run.order.is_stop_requested = true;
    changes_.add_order(job, order_change::action_type::stop, run.order, reason);
}

void scheduler_core::stop_step(open_job& job, jobs::task_id const& member,
                               std::string_view reason)
{
    bool const is_gang = step_of(job, member).is_gang;
    for (auto& [task, run] : job.assignments) {
        if (task == member ||
            (is_gang && step_key_of(task) == step_key_of(member)))
            stop_run(job, run, reason);
    }
}

void scheduler_core::stop_all_runs(open_job& job, std::string_view reason)
{
    for (auto& [task, run] : job.assignments)
        stop_run(job, run, reason);
}

std::vector<job_change> scheduler_core::decide(decision_time const& time)
{
    record_lapsed_runs(time);
    for (auto& [id, job] : jobs_) {
        if (!jobs::is_final(job.progress.state) && !job.is_cancel_requested)
            open_due_occurrences(job, time.unix_ms);
    }
    stop_unviable_runs(time.now);
    place_tasks(time.now);
    for (auto& [id, job] : jobs_)
        update_state(job, time.now);
    remove_expired_jobs(time.now);
    return changes_.take_changes(jobs_);
}

void scheduler_core::record_lapsed_runs(decision_time const& time)
{
    lost_agents_.clear();
    for (auto& [id, job] : jobs_) {
        for (auto run = job.assignments.begin();
             run != job.assignments.end();) {
            auto const current = run++;
            if (!has_lease_expired(current->second, time))
                continue;
            add_lost_agent(current->second.order.agent,
                           silence_of(current->second, time));
            end_recorder_.record(job, current, jobs::run_end::lapsed, {},
                                 time.now);
        }
    }
}

void scheduler_core::add_lost_agent(std::string const& agent,
                                    core::duration silence)
{
    auto known = std::find_if(
        lost_agents_.begin(), lost_agents_.end(),
        [&](lost_agent const& lost) { return lost.agent == agent; });
    if (known == lost_agents_.end())
        known = lost_agents_.insert(known, {agent, silence, 0});
    ++known->lapsed_runs;
}

/// The ends of other members of its gang do not show that a run has ended: its
/// executor may be cut off from theirs, and runs on until the lease expires.
bool scheduler_core::has_lease_expired(assignment const& run,
                                       decision_time const& time) const
{
    return silence_of(run, time) > limits_.lost_after;
}

core::duration scheduler_core::silence_of(assignment const& run,
                                          decision_time const& time) const
{
    auto const worker = workers_.find(run.order.agent);
    // Without a report, the agent has stored none since the order was restored.
    auto const last_sign = worker == workers_.end()
                               ? run.ordered_at
                               : worker->second.last_report_at;
    return time.reports_confirmed_at - last_sign;
}

void scheduler_core::open_due_occurrences(open_job& job, std::int64_t unix_ms)
{
    auto const& spec = job.submission.spec;
    auto& open = job.progress.occurrences;
    // Further ones are opened once earlier ones have finished, so that the
    // progress of all open ones fits in a row.
    auto const most_open = std::max<std::int64_t>(
        jobs::max_tasks / std::max<std::int64_t>(jobs::task_count(spec), 1), 1);
    for (std::int64_t number = 0; number < spec.occurrences(); ++number) {
        auto const due = spec.first_due_ms + number * spec.interval.count();
        if (spec.is_repeated() && unix_ms < due)
            return;
        if (job.progress.finished_occurrences.contains(number))
            continue;
        if (static_cast<std::int64_t>(open.size()) >= most_open)
            return;
        open.try_emplace(number, make_occurrence(spec));
    }
}

void scheduler_core::close_done_occurrences(open_job& job)
{
    auto& open = job.progress.occurrences;
    for (auto next = open.begin(); next != open.end();) {
        auto const current = next++;
        if (!is_occurrence_done(current->second))
            continue;
        job.progress.finished_occurrences.insert(current->first);
        open.erase(current);
        changes_.find_or_add(job);
    }
}

void scheduler_core::update_state(open_job& job, core::time_point now)
{
    auto& state = job.progress.state;
    if (state == jobs::job_state::failed)
        stop_all_runs(job, "job failed");
    if (job.is_cancel_requested && !jobs::is_final(state)) {
        stop_all_runs(job, "cancelled");
        state = jobs::job_state::cancelled;
        changes_.find_or_add(job);
    }
    if (!jobs::is_final(state)) {
        close_done_occurrences(job);
        auto const finished =
            static_cast<std::int64_t>(job.progress.finished_occurrences.size());
        if (finished == job.submission.spec.occurrences()) {
            state = jobs::job_state::completed;
            changes_.find_or_add(job);
        } else if (state == jobs::job_state::queued &&
                   job.progress.has_started) {
            state = jobs::job_state::running;
            changes_.find_or_add(job);
        }
    }
    if (jobs::is_final(state)) {
        job.progress.occurrences.clear();
        if (!job.finished_at) {
            job.finished_at = now;
            changes_.find_or_add(job).has_just_finished = true;
        }
    }
}

void scheduler_core::stop_unviable_runs(core::time_point now)
{
    for (auto& [id, job] : jobs_) {
        for (auto& [task, run] : job.assignments) {
            if (run.is_stopping())
                continue;
            if (run.gang_broken_at &&
                now - *run.gang_broken_at > gang_end_timeout) {
                stop_run(job, run, "another member of the gang has ended");
                continue;
            }
            if (is_stalled(job, run) &&
                (run.percent < stall_restart_max_percent ||
                 run.last_seen_at - run.percent_changed_at >
                     stall_time_limit)) {
                job.failed_at_by_agent[step_key_of(task)][run.order.agent] =
                    now;
                stop_step(job, task, "no progress");
                continue;
            }
            auto const worker = workers_.find(run.order.agent);
            if (worker == workers_.end())
                continue;
            auto const& view = worker->second;
            if (view.report.worker.state != jobs::worker_state::draining)
                continue;
            auto const worker_end_time =
                view.last_report_at + view.report.worker.remaining;
            if (now + expected_remaining_time(job, run, statistics_.run_times,
                                              now) >
                worker_end_time)
                stop_step(job, task, "worker leaves before the end");
        }
    }
}

void scheduler_core::place_tasks(core::time_point now)
{
    advice_requests_.clear();
    new_waits_.clear();
    if (start_limits_.are_starts_held)
        return;
    auto const guaranteed = guaranteed_jobs(jobs_, *rules_);
    auto waiting = collect_waiting_groups(
        jobs_, guaranteed, statistics_.run_times, limits_.locality, now);
    if (waiting.empty())
        return;
    auto const workers = collect_workers({workers_, jobs_, statistics_,
                                          limits_.report_freshness_limit,
                                          start_limits_.evacuated_data_centres},
                                         now);
    apply_urgent_headroom(waiting, workers, now);
    // Only urgent groups may preempt others.
    bool const can_preempt =
        std::any_of(waiting.begin(), waiting.end(), [](auto const& tasks) {
            return tasks.group.preemption_budget > 0;
        });
    auto const running =
        can_preempt ? collect_preemptible_groups(jobs_, guaranteed,
                                                 statistics_.run_times, now)
                    : std::vector<running_tasks>();
    std::vector<placement::waiting_group> waiting_groups;
    waiting_groups.reserve(waiting.size());
    for (auto const& tasks : waiting)
        waiting_groups.push_back(tasks.group);
    std::vector<placement::running_group> running_groups;
    running_groups.reserve(running.size());
    for (auto const& tasks : running)
        running_groups.push_back(tasks.group);
    auto const result =
        placement::run_round(workers, waiting_groups, running_groups);
    std::vector<std::vector<std::string>> agents(waiting.size());
    for (auto const& placed : result.placed)
        agents[placed.group] = placed.agents;
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        if (has_tickets(waiting[index], agents[index], workers, now))
            start_group(waiting[index], agents[index], now);
    }
    for (auto const& unplaced : result.unplaced)
        note_wait(waiting[unplaced.group], unplaced, now);
    for (auto const victim : result.stopped) {
        for (auto const& task : running[victim].tasks) {
            auto& job = jobs_.at(task.job_id);
            stop_run(job, job.assignments.at(task), "preempted by urgent work");
            ++job.preempted_runs;
        }
    }
}

/// Makes non-urgent groups leave the urgent headroom free, unless waiting could
/// make them miss their latest start. Groups that have missed it wait as well.
/// The headroom is a share of the workers that accept runs: if the others
/// counted, it could exceed all that is left after most workers have gone.
void scheduler_core::apply_urgent_headroom(
    std::vector<waiting_tasks>& waiting,
    std::span<placement::worker const> workers, core::time_point now)
{
    std::map<std::string, std::int64_t> urgent_accelerators;
    for (auto const& [id, job] : jobs_) {
        if (!job.submission.parameters.is_urgent())
            continue;
        for (auto const& [task, run] : job.assignments)
            urgent_accelerators[job.submission.parameters.service] +=
                run.resources.accelerators;
    }
    for (auto const& tasks : waiting) {
        if (tasks.group.priority == 0) {
            urgent_accelerators[tasks.group.service] +=
                static_cast<std::int64_t>(tasks.group.count) *
                tasks.group.task.accelerators;
        }
    }
    std::map<std::string, std::int64_t> capacity;
    for (auto const& worker : workers) {
        if (worker.is_accepting)
            capacity[worker.service] += worker.capacity.accelerators;
    }
    for (auto const& [service, accelerators] : capacity)
        urgent_headroom_.observe(service, urgent_accelerators[service], now);
    for (auto& tasks : waiting) {
        bool const can_wait = tasks.group.priority > 0 &&
                              tasks.priority_class > 1 &&
                              (now + headroom_use_margin < tasks.latest_start ||
                               now > tasks.latest_start);
        if (can_wait) {
            tasks.group.accelerator_headroom =
                urgent_headroom_.accelerators_to_keep_free(
                    tasks.group.service, capacity[tasks.group.service]);
        }
    }
}

/// Adds a request to the advice service if tickets are missing.
/// @return whether all agents on which the tasks were placed have valid tickets
bool scheduler_core::has_tickets(waiting_tasks const& tasks,
                                 std::span<std::string const> agents,
                                 std::span<placement::worker const> workers,
                                 core::time_point now)
{
    auto const& job = jobs_.at(tasks.tasks.front().job_id);
    if (!job.submission.parameters.needs_tickets())
        return true;
    auto request = plan_advice_request(job, tasks, agents, workers, now);
    if (!request)
        return true;
    advice_requests_.push_back(std::move(*request));
    auto const advice = job.advice.find(advice_requests_.back().step);
    return advice != job.advice.end() &&
           std::all_of(agents.begin(), agents.end(), [&](auto const& agent) {
               auto const& executor = workers_.at(agent).report.worker.executor;
               return advice->second.ticket(
                   executor.id, earliest_usable_ticket_time(job, now));
           });
}

void scheduler_core::note_wait(waiting_tasks const& tasks,
                               placement::unplaced_group const& unplaced,
                               core::time_point now)
{
    auto const& first = tasks.tasks.front();
    auto& job = jobs_.at(first.job_id);
    auto const key = step_key_of(first);
    if (now - job.waiting_since.at(key) < min_logged_wait)
        return;
    auto const [known, is_new] = job.wait_reasons.emplace(key, unplaced.reason);
    if (!is_new && known->second == unplaced.reason)
        return;
    known->second = unplaced.reason;
    new_waits_.push_back({first.job_id, key, unplaced.tasks, unplaced.reason});
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
        changes_.keep_together(job, agents.size());
    }
    for (std::size_t index = 0; index < agents.size(); ++index) {
        auto const& task = tasks.tasks[index];
        auto const run =
            tasks.group.is_gang ? gang_run : find_task(job, task)->last_run + 1;
        start_task(task, agents[index], run, now);
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

void scheduler_core::start_task(jobs::task_id const& task,
                                std::string const& agent, std::int64_t run,
                                core::time_point now)
{
    auto& job = jobs_.at(task.job_id);
    auto const& report = workers_.at(agent).report;
    auto const& executor = report.worker.executor;
    auto const& step = step_of(job, task);
    jobs::run_order order{
        agent,
        executor,
        {task, run},
        job.submission.spec.payload,
        find_checkpoint_owner(job, task)->checkpoint,
        false,
        job.submission.parameters.is_urgent(),
        "",
        step.response_target,
        step.is_filler,
        report.session,
        start_limits_.start_deadline.value_or(core::duration(0))};
    if (job.submission.parameters.needs_tickets()) {
        order.ticket =
            job.advice.at(step_key_of(task))
                .ticket(executor.id, earliest_usable_ticket_time(job, now))
                .value_or("");
    }
    changes_.add_order(job, order_change::action_type::start, order,
                       is_away_from_data(step, report.worker.rack)
                           ? "away from its data"
                           : "");
    job.progress.has_started = true;
    find_task(job, task)->last_run = run;
    add_assignment(job, std::move(order), now);
    note_rack(job, task, report.worker.rack, limits_.locality.remote_factor);
}

void scheduler_core::remove_expired_jobs(core::time_point now)
{
    for (auto next = jobs_.begin(); next != jobs_.end();) {
        auto const current = next++;
        auto& job = current->second;
        if (!job.finished_at || !job.assignments.empty() ||
            now - *job.finished_at < limits_.finished_job_retention)
            continue;
        changes_.find_or_add(job).is_retired = true;
        jobs_.erase(current);
    }
}

} // namespace sequoiaroute::scheduler
