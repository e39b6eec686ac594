#include "scheduler/group_builder.hpp"

#include "scheduler/job_tasks.hpp"
#include "scheduler/remaining_time.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace sequoiaroute::scheduler {

namespace {

using namespace std::chrono_literals;

/// A group that has waited this long holds the resources it needs, so that
/// smaller groups cannot starve a large one.
constexpr core::duration reservation_delay{2000};
/// A step avoids an agent for this long after a run of it failed there.
constexpr core::duration failed_agent_cooldown{6000};
/// The work of other jobs, in core-seconds, that may be lost by preemption for
/// an urgent job without a guarantee: a base, plus a multiple of its own work.
constexpr double preemption_budget_base = 300;
constexpr double preemption_budget_factor = 1.25;
/// The tasks of a job are stopped this often on average for urgent work without
/// a guarantee, so that it completes some time.
constexpr std::int64_t max_preemptions_per_task = 2;
/// A stopped run waits about this long for its next start.
constexpr core::duration restart_delay{1000};
/// Work that can no longer meet its objective waits behind other work for this
/// long at most.
constexpr core::duration max_deferral{60'000};
/// The cores to which one accelerator is equivalent when work is compared.
constexpr double cores_per_accelerator = 8;
/// Tasks with checkpoints save one at least this often, in seconds, so no more
/// work than that is lost by a stop.
constexpr double max_checkpoint_age_s = 1;

/// @return the cores of a task, accelerators included at their equivalent
double core_equivalents(jobs::resources const& task)
{
    return static_cast<double>(task.millicores) / 1000 +
           cores_per_accelerator * static_cast<double>(task.accelerators);
}

/// @return the core-seconds that may be lost to start an urgent job
double preemption_budget_of(jobs::submission const& job,
                            run_time_estimator const& run_times)
{
    double work = 0;
    for (auto const& step : job.spec.steps) {
        auto const time =
            run_times.expected_run_time(job.parameters.queue, step.estimate);
        work += core_equivalents(step.task) *
                static_cast<double>(step.task_count) *
                static_cast<double>(time.count()) / 1000;
    }
    return preemption_budget_base + preemption_budget_factor * work;
}

/// @return the accelerators that the tasks of the first step use together
std::int64_t accelerators_of_first_step(jobs::job_spec const& spec)
{
    if (spec.steps.empty())
        return 0;
    return spec.steps[0].task_count * spec.steps[0].task.accelerators;
}

/// @return unfinished urgent jobs in the order of their arrival
std::vector<open_job const*> urgent_jobs_by_arrival(job_map const& jobs)
{
    std::vector<open_job const*> urgent;
    for (auto const& [id, job] : jobs) {
        if (job.submission.parameters.priority == 0 &&
            !job.is_cancel_requested && !jobs::is_final(job.progress.state))
            urgent.push_back(&job);
    }
    std::sort(urgent.begin(), urgent.end(),
              [](auto const* left, auto const* right) {
                  return left->accepted_at < right->accepted_at;
              });
    return urgent;
}

/// @return the number of runs of a step on each agent
std::map<std::string, std::size_t> count_running_by_agent(open_job const& job,
                                                          step_key const& key)
{
    std::map<std::string, std::size_t> running;
    for (auto const& [task, run] : job.assignments) {
        if (step_key_of(task) == key)
            ++running[run.order.agent];
    }
    return running;
}

/// @return the agents on which a run of the step has recently failed or stalled
std::set<std::string> avoided_agents(open_job const& job, step_key const& key,
                                     core::time_point now)
{
    std::set<std::string> avoided;
    auto const found = job.failed_at_by_agent.find(key);
    if (found == job.failed_at_by_agent.end())
        return avoided;
    for (auto const& [agent, failed_at] : found->second) {
        if (now - failed_at < failed_agent_cooldown)
            avoided.insert(agent);
    }
    return avoided;
}

/// @return the tasks of a step that are neither done nor have a run
std::vector<jobs::task_id>
waiting_tasks_of(open_job const& job, step_key const& key,
                 std::vector<jobs::task_progress> const& tasks)
{
    std::vector<jobs::task_id> waiting;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        jobs::task_id const task{job.submission.job_id, key.occurrence,
                                 key.step, static_cast<std::int32_t>(index)};
        if (!tasks[index].is_done && !job.assignments.contains(task))
            waiting.push_back(task);
    }
    return waiting;
}

/// Orders urgent work covered by a guarantee before other urgent work and
/// replacements of long-running tasks, whose users notice each second of
/// absence, and these before the rest.
std::int64_t priority_class_of(jobs::step_spec const& step,
                               placement::waiting_group const& group)
{
    if (group.priority == 0)
        return group.is_guaranteed ? 0 : 1;
    return step.is_long_running ? 1 : 2;
}

/// The urgency of a job, the same for all its groups.
struct job_urgency
{
    bool is_guaranteed = false;
    usefulness use = usefulness::timely;
    core::time_point latest_start{};
};

/// @param use the use of the job's result if it is completed now
/// @param waited how long the group has waited
/// @return by what the group is placed relative to others of its class: those
///         that can meet their objectives come first, those that are of no use
///         last. A group that has waited long comes first, so that none starves
usefulness placement_rank(usefulness use, core::duration waited)
{
    return waited > max_deferral ? usefulness::timely : use;
}

/// Sets what a group loses away from the racks that suit it, and how long it
/// waits for these.
void set_rack_wait(placement::waiting_group& group, open_job const& job,
                   jobs::step_spec const& step, core::duration waited,
                   core::time_point now, locality_limits const& limits)
{
    rack_waiter waiter;
    waiter.run_time = group.expected_run_time;
    waiter.waited = waited;
    waiter.job_age = now - job.accepted_at;
    waiter.is_long_running = step.is_long_running;
    waiter.is_guaranteed = group.is_guaranteed;
    waiter.has_running_tasks = !job.assignments.empty();
    auto const wait = limit_rack_wait(waiter, limits);
    group.remote_factor = limits.remote_factor;
    group.rack_wait_limit = wait.busy;
    group.idle_rack_wait_limit = wait.idle;
}

waiting_tasks make_waiting_tasks(open_job const& job, step_key const& key,
                                 std::vector<jobs::task_id> tasks,
                                 job_urgency const& urgency,
                                 run_time_estimator const& run_times,
                                 locality_limits const& limits,
                                 core::time_point waiting_since,
                                 core::time_point now)
{
    auto const& step =
        job.submission.spec.steps[static_cast<std::size_t>(key.step)];
    auto const waited = now - waiting_since;
    waiting_tasks result;
    auto& group = result.group;
    group.service = job.submission.parameters.service;
    group.count = tasks.size();
    group.task = step.requested_resources();
    group.expected_run_time =
        step.is_long_running
            ? core::duration::max()
            : run_times.expected_run_time(job.submission.parameters.queue,
                                          step.estimate);
    group.is_filler = step.is_filler;
    group.is_gang = step.is_gang;
    group.is_rack_local = step.is_rack_local;
    group.data_rack = step.data_rack;
    group.required_label = step.required_label;
    group.max_per_worker =
        static_cast<std::size_t>(std::max(step.max_per_worker, 0));
    group.running_tasks_by_agent = count_running_by_agent(job, key);
    group.avoided = avoided_agents(job, key, now);
    if (job.submission.parameters.needs_tickets()) {
        auto const found = job.advice.find(key);
        group.allowed_executors = found == job.advice.end()
                                      ? std::set<std::string>()
                                      : found->second.allowed_executors();
    }
    group.priority = job.submission.parameters.priority;
    group.is_short_of_time =
        !step.is_long_running && urgency.use == usefulness::timely &&
        urgency.latest_start - now < group.expected_run_time / 2;
    group.is_guaranteed = urgency.is_guaranteed;
    set_rack_wait(group, job, step, waited, now, limits);
    group.can_reserve = group.priority == 0 || waited > reservation_delay;
    if (urgency.is_guaranteed)
        group.preemption_budget = std::numeric_limits<double>::max();
    else if (group.priority == 0)
        group.preemption_budget =
            preemption_budget_of(job.submission, run_times);
    group.may_make_jobs_late =
        urgency.is_guaranteed || urgency.use == usefulness::timely;
    result.tasks = std::move(tasks);
    result.priority_class = priority_class_of(step, group);
    result.rank = placement_rank(urgency.use, waited);
    result.latest_start = urgency.latest_start;
    return result;
}

/// @return the work, in core-seconds, that a stop of the run would lose now
double lost_core_seconds(open_job const& job, assignment const& run,
                         core::time_point now)
{
    if (!run.first_seen_at)
        return 0;
    auto const& step = step_of(job, run.order.run.task);
    auto seconds =
        static_cast<double>((now - *run.first_seen_at).count()) / 1000;
    if (step.has_checkpoints)
        seconds = std::min(seconds, max_checkpoint_age_s);
    return seconds * core_equivalents(run.resources);
}

/// @return whether the job of a run is expected to meet its objective, but not
///         if the run is stopped and its work that is not saved is done again
bool would_miss_objective(open_job const& job, assignment const& run,
                          core::time_point due,
                          run_time_estimator const& run_times,
                          core::time_point now)
{
    auto const remaining = expected_remaining_time(job, run, run_times, now);
    if (now + remaining > due)
        return false;
    auto const& step = step_of(job, run.order.run.task);
    if (step.has_checkpoints)
        return now + remaining + restart_delay > due;
    auto const run_time = run_times.expected_run_time(
        job.submission.parameters.queue, step.estimate);
    return now + run_time + restart_delay > due;
}

} // namespace

guaranteed_set guaranteed_jobs(job_map const& jobs, jobs::rules const& rules)
{
    std::map<std::string, std::int64_t> used;
    guaranteed_set guaranteed;
    for (auto const* job : urgent_jobs_by_arrival(jobs)) {
        auto const& customer = job->submission.customer;
        auto const guarantee = rules.guaranteed_accelerators.find(customer);
        if (guarantee == rules.guaranteed_accelerators.end())
            continue;
        auto& sum = used[customer];
        sum += accelerators_of_first_step(job->submission.spec);
        if (sum <= guarantee->second)
            guaranteed.insert(job);
    }
    return guaranteed;
}

bool is_step_due(jobs::submission const& job,
                 jobs::occurrence_progress const& occurrence, std::size_t step)
{
    auto const& after = job.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](std::int32_t before) {
        auto const position = static_cast<std::size_t>(before);
        return position >= occurrence.steps.size() ||
               is_step_done(occurrence.steps[position]);
    });
}

std::vector<waiting_tasks>
collect_waiting_groups(job_map& jobs, guaranteed_set const& guaranteed,
                       run_time_estimator const& run_times,
                       locality_limits const& limits, core::time_point now)
{
    std::vector<waiting_tasks> groups;
    for (auto& [id, job] : jobs) {
        if (job.is_cancel_requested || jobs::is_final(job.progress.state))
            continue;
        job_urgency urgency;
        urgency.is_guaranteed = guaranteed.contains(&job);
        auto const objective = objective_of(job, run_times);
        urgency.latest_start = objective.latest_start;
        urgency.use = objective.usefulness_at(now);
        for (auto const& [number, occurrence] : job.progress.occurrences) {
            for (std::size_t index = 0; index < occurrence.steps.size();
                 ++index) {
                step_key const key{number, static_cast<std::int32_t>(index)};
                auto tasks =
                    waiting_tasks_of(job, key, occurrence.steps[index]);
                if (tasks.empty()) {
                    job.waiting_since.erase(key);
                    job.wait_reasons.erase(key);
                    continue;
                }
                if (!is_step_due(job.submission, occurrence, index))
                    continue;
                auto const since =
                    job.waiting_since.emplace(key, now).first->second;
                auto const& step = job.submission.spec.steps[index];
                bool const are_all_waiting =
                    tasks.size() == occurrence.steps[index].size();
                if (step.is_gang && !are_all_waiting)
                    continue;
                groups.push_back(make_waiting_tasks(job, key, std::move(tasks),
                                                    urgency, run_times, limits,
                                                    since, now));
            }
        }
    }
    std::stable_sort(groups.begin(), groups.end(),
                     [](auto const& left, auto const& right) {
                         return std::tuple(left.priority_class, left.rank,
                                           left.latest_start) <
                                std::tuple(right.priority_class, right.rank,
                                           right.latest_start);
                     });
    return groups;
}

std::vector<running_tasks> collect_preemptible_groups(
    job_map const& jobs, guaranteed_set const& guaranteed,
    run_time_estimator const& run_times, core::time_point now)
{
    std::vector<running_tasks> groups;
    std::size_t number = 0;
    for (auto const& [id, job] : jobs) {
        ++number;
        auto const due = job.assignments.empty()
                             ? core::time_point{}
                             : objective_of(job, run_times).due;
        std::map<step_key, std::size_t> gangs;
        for (auto const& [task, run] : job.assignments) {
            auto const& step = step_of(job, task);
            if (run.is_stopping() || step.allowed_absences > 0)
                continue;
            auto const key = step_key_of(task);
            auto const found = gangs.find(key);
            if (!step.is_gang || found == gangs.end()) {
                gangs[key] = groups.size();
                groups.emplace_back();
                auto& group = groups.back().group;
                group.priority = job.submission.parameters.priority;
                group.job = number;
                group.is_guaranteed = guaranteed.contains(&job);
                group.is_protected = job.preempted_runs >=
                                     max_preemptions_per_task *
                                         jobs::task_count(job.submission.spec);
            }
            auto& running = groups[gangs[key]];
            running.tasks.push_back(task);
            running.group.members.push_back({run.order.agent, run.resources});
            running.group.loss_core_seconds += lost_core_seconds(job, run, now);
            if (would_miss_objective(job, run, due, run_times, now))
                running.group.makes_job_late = true;
        }
    }
    return groups;
}

} // namespace sequoiaroute::scheduler
