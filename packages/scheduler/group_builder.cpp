#include "scheduler/group_builder.hpp"

#include "scheduler/job_tasks.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace sequoiaroute::scheduler {

namespace {

using namespace std::chrono_literals;

/// How long a group waits for its rack before it takes any room, if a
/// guarantee says that it has to start soon.
constexpr core::duration rack_patience{1500};
/// How long a large group waits before smaller ones must leave room to it.
constexpr core::duration room_patience{2000};
/// How long a step avoids an agent on which a run of it failed.
constexpr core::duration failed_agent_pause{6000};
/// Work of others that an urgent job without a guarantee may cost, in
/// core-seconds: a fixed amount, and somewhat more than its own work.
constexpr double urgent_budget_base = 300;
constexpr double urgent_budget_factor = 1.25;
/// What an accelerator counts in core-seconds.
constexpr double cores_per_accelerator = 8;
/// A checkpoint is never older than this while a task works.
constexpr double checkpoint_age_s = 1;
/// A run that shows no progress for so long stands still, unless its percent
/// is expected to change less often.
constexpr core::duration stall_time{2600};
constexpr double stall_share_of_estimate = 0.12;

double cores_of(jobs::resources const& task)
{
    return static_cast<double>(task.millicores) / 1000 +
           cores_per_accelerator * static_cast<double>(task.accelerators);
}

double urgent_budget(jobs::submission const& job,
                     run_time_estimator const& run_times)
{
    double work = 0;
    for (auto const& step : job.spec.steps) {
        auto const time =
            run_times.expected(job.parameters.queue, step.estimate);
        work += cores_of(step.task) * static_cast<double>(step.task_count) *
                static_cast<double>(time.count()) / 1000;
    }
    return urgent_budget_base + urgent_budget_factor * work;
}

/// @return the last moment at which a job can begin and meet its objective
core::time_point latest_start(open_job const& job,
                              run_time_estimator const& run_times)
{
    auto const chain = run_times.expected_chain(job.submission);
    auto const objective = job.submission.parameters.objective_factor *
                           static_cast<double>(chain.count());
    return job.seen_at + job.submission.parameters.objective_slack +
           core::duration(static_cast<std::int64_t>(objective)) - chain;
}

std::int64_t accelerators_of_first_step(jobs::job_spec const& spec)
{
    if (spec.steps.empty())
        return 0;
    return spec.steps[0].task_count * spec.steps[0].task.accelerators;
}

/// Urgent jobs in the order of their arrival.
std::vector<open_job const*> urgent_jobs(job_map const& jobs)
{
    std::vector<open_job const*> urgent;
    for (auto const& [id, job] : jobs) {
        if (job.submission.parameters.priority == 0 && !job.is_cancelled &&
            !jobs::is_final(job.progress.state))
            urgent.push_back(&job);
    }
    std::sort(urgent.begin(), urgent.end(),
              [](auto const* left, auto const* right) {
                  return left->seen_at < right->seen_at;
              });
    return urgent;
}

/// @return the jobs whose customers' guarantees cover them
std::set<open_job const*> guaranteed_jobs(job_map const& jobs,
                                          jobs::rules const& rules)
{
    std::map<std::string, std::int64_t> used;
    std::set<open_job const*> covered;
    for (auto const* job : urgent_jobs(jobs)) {
        auto const& customer = job->submission.customer;
        auto const guarantee = rules.guaranteed_accelerators.find(customer);
        if (guarantee == rules.guaranteed_accelerators.end())
            continue;
        auto& sum = used[customer];
        sum += accelerators_of_first_step(job->submission.spec);
        if (sum <= guarantee->second)
            covered.insert(job);
    }
    return covered;
}

std::map<std::string, std::size_t> running_by_agent(open_job const& job,
                                                    step_key const& key)
{
    std::map<std::string, std::size_t> running;
    for (auto const& [task, run] : job.assignments) {
        if (key_of(task) == key)
            ++running[run.order.agent];
    }
    return running;
}

std::set<std::string> avoided_agents(open_job const& job, step_key const& key,
                                     core::time_point now)
{
    std::set<std::string> avoided;
    auto const found = job.failed_on.find(key);
    if (found == job.failed_on.end())
        return avoided;
    for (auto const& [agent, at] : found->second) {
        if (now - at < failed_agent_pause)
            avoided.insert(agent);
    }
    return avoided;
}

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

/// Covered urgent work goes first, then other urgent work and replacements of
/// long-running tasks, whose users notice each second, then patient work.
std::int64_t order_class_of(jobs::step_spec const& step,
                            placement::waiting_group const& group)
{
    if (group.priority == 0)
        return group.is_guaranteed ? 0 : 1;
    return step.is_long_running ? 1 : 2;
}

/// What the groups of one job have in common.
struct job_outlook
{
    bool is_guaranteed = false;
    core::time_point latest_start{};
    bool is_late = false; ///< its objective can no longer be met
};

waiting_tasks to_group(open_job const& job, step_key const& key,
                       std::vector<jobs::task_id> tasks,
                       job_outlook const& outlook,
                       run_time_estimator const& run_times,
                       core::time_point waiting_since, core::time_point now)
{
    auto const& step =
        job.submission.spec.steps[static_cast<std::size_t>(key.step)];
    auto const waited = now - waiting_since;
    waiting_tasks result;
    auto& group = result.group;
    group.service = job.submission.parameters.service;
    group.count = tasks.size();
    group.task = step.requested_resources();
    group.is_filler = step.is_filler;
    group.is_gang = step.is_gang;
    group.is_rack_local = step.is_rack_local;
    group.data_rack = step.data_rack;
    group.required_label = step.required_label;
    group.max_per_worker =
        static_cast<std::size_t>(std::max(step.max_per_worker, 0));
    group.running_tasks_by_agent = running_by_agent(job, key);
    group.avoided = avoided_agents(job, key, now);
    if (job.submission.parameters.needs_tickets()) {
        auto const found = job.advice.find(key);
        group.allowed_executors = found == job.advice.end()
                                      ? std::set<std::string>()
                                      : found->second.allowed();
    }
    group.priority = job.submission.parameters.priority;
    group.is_guaranteed = outlook.is_guaranteed;
    group.is_any_rack_allowed = outlook.is_guaranteed && waited > rack_patience;
    group.can_reserve = group.priority == 0 || waited > room_patience;
    if (outlook.is_guaranteed)
        group.preemption_budget = std::numeric_limits<double>::max();
    else if (group.priority == 0)
        group.preemption_budget = urgent_budget(job.submission, run_times);
    result.tasks = std::move(tasks);
    result.order_class = order_class_of(step, group);
    result.is_late = group.priority == 0 && outlook.is_late;
    result.latest_start = outlook.latest_start;
    return result;
}

double loss_of(open_job const& job, assignment const& run, core::time_point now)
{
    if (!run.seen_running_at)
        return 0;
    auto const& step = step_of(job, run.order.run.task);
    auto seconds =
        static_cast<double>((now - *run.seen_running_at).count()) / 1000;
    if (step.has_checkpoints)
        seconds = std::min(seconds, checkpoint_age_s);
    return seconds * cores_of(run.task);
}

} // namespace

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

std::vector<waiting_tasks> collect_waiting(job_map& jobs,
                                           jobs::rules const& rules,
                                           run_time_estimator const& run_times,
                                           core::time_point now)
{
    auto const covered = guaranteed_jobs(jobs, rules);
    std::vector<waiting_tasks> groups;
    for (auto& [id, job] : jobs) {
        if (job.is_cancelled || jobs::is_final(job.progress.state))
            continue;
        job_outlook outlook;
        outlook.is_guaranteed = covered.contains(&job);
        outlook.latest_start = latest_start(job, run_times);
        outlook.is_late = now > outlook.latest_start;
        for (auto const& [number, occurrence] : job.progress.occurrences) {
            for (std::size_t index = 0; index < occurrence.steps.size();
                 ++index) {
                step_key const key{number, static_cast<std::int32_t>(index)};
                auto tasks =
                    waiting_tasks_of(job, key, occurrence.steps[index]);
                if (tasks.empty()) {
                    job.waiting_since.erase(key);
                    continue;
                }
                if (!is_step_due(job.submission, occurrence, index))
                    continue;
                auto const since =
                    job.waiting_since.emplace(key, now).first->second;
                auto const& step = job.submission.spec.steps[index];
                bool const is_whole =
                    tasks.size() == occurrence.steps[index].size();
                if (step.is_gang && !is_whole)
                    continue;
                groups.push_back(to_group(job, key, std::move(tasks), outlook,
                                          run_times, since, now));
            }
        }
    }
    std::stable_sort(groups.begin(), groups.end(),
                     [](auto const& left, auto const& right) {
                         return std::tuple(left.order_class, left.is_late,
                                           left.latest_start) <
                                std::tuple(right.order_class, right.is_late,
                                           right.latest_start);
                     });
    return groups;
}

std::vector<running_tasks> collect_running(job_map const& jobs,
                                           core::time_point now)
{
    std::vector<running_tasks> groups;
    for (auto const& [id, job] : jobs) {
        std::map<step_key, std::size_t> gangs;
        for (auto const& [task, run] : job.assignments) {
            auto const& step = step_of(job, task);
            if (run.is_stopping() || step.allowed_absences > 0)
                continue;
            auto const key = key_of(task);
            auto const known = gangs.find(key);
            if (!step.is_gang || known == gangs.end()) {
                gangs[key] = groups.size();
                groups.emplace_back();
                groups.back().group.priority =
                    job.submission.parameters.priority;
            }
            auto& target = groups[gangs[key]];
            target.tasks.push_back(task);
            target.group.members.push_back({run.order.agent, run.task});
            target.group.loss_core_seconds += loss_of(job, run, now);
        }
    }
    return groups;
}

bool is_stalled(open_job const& job, assignment const& run)
{
    if (!run.seen_running_at || run.is_stopping())
        return false;
    auto const& step = step_of(job, run.order.run.task);
    // A filler that its agent holds back is not at fault.
    if (step.is_long_running || run.share < 100)
        return false;
    auto const expected = core::duration(static_cast<std::int64_t>(
        stall_share_of_estimate * static_cast<double>(step.estimate.count())));
    // While no reports arrive, nothing is known of the run's progress.
    return run.observed_at - run.percent_changed_at >
           std::max(stall_time, expected);
}

std::vector<placement::worker>
collect_workers(worker_map const& workers, job_map const& jobs,
                placement::worker_health const& health,
                placement::worker_speed const& speed, core::time_point now,
                core::duration fresh_after)
{
    std::map<std::string, std::size_t> positions;
    std::vector<placement::worker> result;
    for (auto const& [agent, view] : workers) {
        auto const& described = view.report.worker;
        placement::worker entry;
        entry.agent = agent;
        entry.executor = described.executor.id;
        entry.service = described.service;
        entry.rack = described.rack;
        entry.labels = described.labels;
        entry.capacity = described.capacity;
        entry.free = described.capacity;
        entry.free_after_stops = described.capacity;
        entry.is_accepting = described.state == jobs::worker_state::ready &&
                             now - view.heard_at < fresh_after &&
                             !health.is_avoided(agent, now);
        entry.recent_failures = health.recent_failures(agent, now);
        entry.slowness = speed.slowness(agent);
        positions[agent] = result.size();
        result.push_back(std::move(entry));
    }
    for (auto const& [id, job] : jobs) {
        for (auto const& [task, run] : job.assignments) {
            auto const position = positions.find(run.order.agent);
            if (position == positions.end())
                continue;
            auto& entry = result[position->second];
            entry.free -= run.task;
            if (!run.is_stopping())
                entry.free_after_stops -= run.task;
            if (is_stalled(job, run))
                entry.is_accepting = false;
            if (run.share < 100)
                entry.throttles_fillers = true;
        }
    }
    return result;
}

} // namespace sequoiaroute::scheduler
