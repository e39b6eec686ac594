#include "policy/cluster_simulation.hpp"

#include "policy/processor_time.hpp"
#include "policy/work_model.hpp"
#include "policy/worker_topology.hpp"

#include <algorithm>

#include <absl/random/distributions.h>

namespace sequoiaroute::benchmarks {

using policy::operator+;
using policy::operator-;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr core::duration eviction_grace = seconds(5);
constexpr core::duration clock_step = seconds(1);
/// The policy decides at least this often, even if no other event occurs.
constexpr core::duration tick_period = minutes(2);
/// Large fleets have enough other events between ticks.
constexpr core::duration large_fleet_tick_period = minutes(15);
constexpr std::size_t large_fleet = 100; // workers
constexpr core::duration worker_downtime = minutes(30);
constexpr core::duration faulty_time = hours(3);
constexpr double mean_hours_between_worker_failures = 10 * 24;
/// A job that failed on this many workers is not retried.
constexpr std::size_t max_failed_workers = 3;
/// Ends a run whose jobs do not finish this long after the last arrival.
constexpr core::duration max_drain_time = hours(24 * 14);

using real_hours = std::chrono::duration<double, std::ratio<3600>>;

int accelerators_of(policy::job_view const& job)
{
    return job.member.accelerators * job.members;
}

} // namespace

cluster_simulation::cluster_simulation(load const& load, std::uint64_t seed,
                                       policy::placement_policy& policy)
    : load_(load), policy_(policy), arrivals_(generate_arrivals(load, seed)),
      job_statuses_(arrivals_.size()), workers_(load.workers),
      is_down_(workers_.size()), is_faulty_(workers_.size()),
      random_engine_(seed + 1), now_(seconds(0))
{
    for (std::size_t job = 0; job < arrivals_.size(); ++job) {
        auto const& arrival = arrivals_[job];
        job_indices_.emplace(arrival.job.job_id, job);
        job_statuses_[job].remaining_work = arrival.run_time;
        events_.push({arrival.job.submitted_at, event_kind::arrival, job});
        if (arrival.cancelled_after != core::duration::max())
            events_.push({arrival.job.submitted_at + arrival.cancelled_after,
                          event_kind::cancellation, job});
        arrivals_end_ = std::max(arrivals_end_, arrival.job.submitted_at);
        if (arrival.job.kind != "service")
            ++unfinished_jobs_;
    }
    schedule_faults(seed + 2);
    events_.push({now_ + tick_period, event_kind::tick});
}

void cluster_simulation::schedule_faults(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    auto const horizon =
        std::chrono::duration_cast<core::duration>(real_hours(load_.days * 24));
    for (std::size_t worker = 0; worker < workers_.size(); ++worker) {
        auto at = now_;
        while (true) {
            at += std::chrono::duration_cast<core::duration>(
                real_hours(absl::Exponential(
                    random, 1 / mean_hours_between_worker_failures)));
            if (at - now_ > horizon)
                break;
            events_.push({at, event_kind::worker_down, worker});
            events_.push({at + worker_downtime, event_kind::worker_up, worker});
        }
    }
    // Twice in a run, a worker becomes faulty.
    for (int count = 0; count < 2; ++count) {
        auto const worker =
            absl::Uniform<std::size_t>(random, 0, workers_.size());
        auto const at = now_ + horizon * (2 * count + 1) / 5;
        events_.push({at, event_kind::worker_fault_begin, worker});
        events_.push({at + faulty_time, event_kind::worker_fault_end, worker});
    }
}

policy::cluster_view cluster_simulation::view() const
{
    return {workers_, pending_, running_, load_.rules};
}

std::size_t cluster_simulation::index_of(std::string const& job_id) const
{
    return job_indices_.at(job_id);
}

policy::running_job_view* cluster_simulation::running_view(std::size_t job)
{
    auto const found = running_index_.find(job);
    return found == running_index_.end() ? nullptr : &running_[found->second];
}

measurements cluster_simulation::run()
{
    while (!events_.empty() && unfinished_jobs_ > 0 &&
           now_ < arrivals_end_ + max_drain_time) {
        auto const at = events_.top().at;
        auto const step_count =
            (at.time_since_epoch() + clock_step - core::duration(1)) /
            clock_step;
        now_ = core::time_point(clock_step * step_count);
        while (!events_.empty() && events_.top().at <= now_) {
            auto const event = events_.top();
            events_.pop();
            handle_event(event);
        }
        update_workers();
        decide();
        // Fragmentation is not measured while the cluster drains after the
        // last arrival.
        if (now_ <= arrivals_end_)
            sampler_.sample(view(), now_);
    }
    result_.unfinished = static_cast<int>(unfinished_jobs_);
    sampler_.write_means(result_);
    return std::move(result_);
}

void cluster_simulation::handle_event(event const& event)
{
    auto const index = event.index;
    switch (event.kind) {
    case event_kind::arrival:
        pending_.push_back(arrivals_[index].job);
        return;
    case event_kind::end:
        if (job_statuses_[index].attempt == event.attempt &&
            job_statuses_[index].state == job_state::running)
            end(index);
        return;
    case event_kind::eviction_end:
        if (job_statuses_[index].attempt == event.attempt &&
            job_statuses_[index].state == job_state::running)
            complete_eviction(index);
        return;
    case event_kind::cancellation:
        cancel_job(index);
        return;
    case event_kind::worker_down:
        fail_worker(index);
        return;
    case event_kind::worker_up:
        is_down_[index] = false;
        return;
    case event_kind::worker_fault_begin:
    case event_kind::worker_fault_end:
        is_faulty_[index] = event.kind == event_kind::worker_fault_begin;
        return;
    case event_kind::tick:
        events_.push(
            {now_ + (workers_.size() < large_fleet ? tick_period
                                                   : large_fleet_tick_period),
             event_kind::tick});
        return;
    }
}

void cluster_simulation::update_workers()
{
    for (std::size_t index = 0; index < workers_.size(); ++index)
        workers_[index].accepts_work =
            !is_down_[index] &&
            !quarantine_.is_quarantined(workers_[index].worker_id, now_);
}

void cluster_simulation::remove_pending(std::size_t job)
{
    auto const& job_id = arrivals_[job].job.job_id;
    std::erase_if(pending_,
                  [&](auto const& item) { return item.job_id == job_id; });
    monitor_.remove(job_id);
}

void cluster_simulation::remove_running(std::size_t job)
{
    auto const index = running_index_.at(job);
    auto const& view = running_[index];
    for (auto const worker : view.members)
        workers_[worker].free = workers_[worker].free + view.job.member;
    running_index_.erase(job);
    if (index + 1 != running_.size()) {
        running_[index] = std::move(running_.back());
        running_index_[index_of(running_[index].job.job_id)] = index;
    }
    running_.pop_back();
}

void cluster_simulation::finish_job(std::size_t job, bool has_succeeded)
{
    auto& status = job_statuses_[job];
    status.state = job_state::ended;
    auto const& view = arrivals_[job].job;
    if (view.kind == "service")
        return;
    --unfinished_jobs_;
    if (!has_succeeded)
        return;
    if (view.deadline != core::time_point::max()) {
        ++result_.deadlines;
        result_.deadlines_missed += now_ > view.deadline ? 1 : 0;
    }
    // Excludes the initial jobs, which were not placed under this load.
    if (view.submitted_at.time_since_epoch() == core::duration{})
        return;
    auto const* const name = view.is_urgent ? "urgent"
                             : accelerators_of(view) >= load_.large_accelerators
                                 ? "large"
                                 : "rest";
    result_.completion_hours[name].push_back(
        real_hours(now_ - view.submitted_at).count());
}

void cluster_simulation::end(std::size_t job)
{
    if (job_statuses_[job].will_fail) {
        fail_attempt(job);
        return;
    }
    auto const view = *running_view(job);
    for (auto const worker : view.members)
        quarantine_.record_success(workers_[worker].worker_id);
    remove_running(job);
    policy_.observe_end(view.job, now_ - view.started_at, true);
    finish_job(job, true);
}

void cluster_simulation::fail_attempt(std::size_t job)
{
    auto& status = job_statuses_[job];
    auto const view = *running_view(job);
    policy_.observe_end(view.job, now_ - view.started_at, false);
    for (auto const worker : view.members) {
        if (!is_faulty_[worker])
            continue;
        auto const& id = workers_[worker].worker_id;
        quarantine_.record_failure(
            {id, view.job.job_id, view.job.customer, view.job.kind, now_},
            workers_.size());
        auto& failed = status.failed_workers;
        if (std::find(failed.begin(), failed.end(), id) == failed.end())
            failed.push_back(id);
        break;
    }
    remove_running(job);
    if (view.job.is_unrepeatable ||
        status.failed_workers.size() >= max_failed_workers) {
        quarantine_.discard_failures_of_job(view.job.job_id);
        finish_job(job, false);
        return;
    }
    requeue(job);
}

void cluster_simulation::requeue(std::size_t job)
{
    job_statuses_[job].state = job_state::waiting;
    pending_.push_back(arrivals_[job].job);
    pending_.back().avoided_workers = job_statuses_[job].failed_workers;
}

void cluster_simulation::complete_eviction(std::size_t job)
{
    auto const view = *running_view(job);
    auto const elapsed = now_ - view.started_at;
    auto const preserved =
        preserved_work(elapsed, arrivals_[job].can_checkpoint, true);
    job_statuses_[job].remaining_work -= preserved;
    auto const lost_hours =
        real_hours(elapsed - preserved).count() * accelerators_of(view.job);
    result_.work_lost_hours += lost_hours;
    remove_running(job);
    requeue(job);
}

void cluster_simulation::cancel_job(std::size_t job)
{
    auto& status = job_statuses_[job];
    if (status.state == job_state::ended)
        return;
    if (status.state == job_state::running)
        remove_running(job);
    else
        remove_pending(job);
    ++status.attempt;
    finish_job(job, false);
}

void cluster_simulation::fail_worker(std::size_t worker)
{
    is_down_[worker] = true;
    std::vector<std::size_t> affected_jobs;
    for (auto const& view : running_) {
        if (std::find(view.members.begin(), view.members.end(), worker) !=
            view.members.end())
            affected_jobs.push_back(index_of(view.job.job_id));
    }
    for (auto const job : affected_jobs) {
        auto const view = *running_view(job);
        ++job_statuses_[job].attempt;
        remove_running(job);
        if (view.job.is_unrepeatable) {
            finish_job(job, false);
            continue;
        }
        job_statuses_[job].remaining_work -= preserved_work(
            now_ - view.started_at, arrivals_[job].can_checkpoint, false);
        requeue(job);
    }
}

void cluster_simulation::decide()
{
    auto const started_at_us = thread_cpu_microseconds();
    auto const decision = policy_.decide(view(), now_);
    result_.decision_microseconds.push_back(thread_cpu_microseconds() -
                                            started_at_us);
    for (auto const& eviction : decision.evictions)
        apply(eviction);
    for (auto const& placement : decision.placements)
        apply(placement);
    for (auto const& rejection : decision.rejections) {
        ++result_.rejected;
        remove_pending(index_of(rejection.job_id));
        finish_job(index_of(rejection.job_id), false);
    }
    monitor_.check(view(), now_, result_);
}

void cluster_simulation::apply(policy::placement const& placement)
{
    auto const job = index_of(placement.job_id);
    auto& status = job_statuses_[job];
    auto const found =
        std::find_if(pending_.begin(), pending_.end(), [&](auto const& item) {
            return item.job_id == placement.job_id;
        });
    auto const view = *found;
    pending_.erase(found);
    monitor_.record_start(placement.job_id, now_, result_);
    if (placement.members.size() != static_cast<std::size_t>(view.members))
        guarantee_monitor::record_violation(result_,
                                            "partial gang " + view.job_id);
    status.will_fail = false;
    for (auto const worker : placement.members) {
        auto& free = workers_[worker].free;
        free = free - view.member;
        if (free.accelerators < 0 || free.cores < 0 ||
            free.memory_megabytes < 0 || !workers_[worker].accepts_work)
            guarantee_monitor::record_violation(
                result_, "no free resources for " + view.job_id);
        status.will_fail = status.will_fail || is_faulty_[worker];
    }
    status.state = job_state::running;
    ++status.attempt;
    running_index_[job] = running_.size();
    running_.push_back({.job = view,
                        .members = placement.members,
                        .started_at = now_,
                        .is_borrowing = placement.is_borrowing});
    events_.push({now_ + (status.will_fail
                              ? core::duration(seconds(
                                    absl::Uniform<int>(random_engine_, 30, 90)))
                              : std::max<core::duration>(status.remaining_work,
                                                         clock_step)),
                  event_kind::end, job, status.attempt});
}

void cluster_simulation::apply(policy::eviction const& eviction)
{
    auto const job = index_of(eviction.job_id);
    auto* const view = running_view(job);
    if (!view->is_borrowing || view->job.is_unrepeatable)
        guarantee_monitor::record_violation(result_, "evicted protected job " +
                                                         eviction.job_id);
    view->is_stopping = true;
    ++result_.evictions;
    if (eviction.reason == policy::eviction_reason::defragmentation) {
        ++result_.moves;
        auto const elapsed = now_ - view->started_at;
        result_.work_lost_to_moves_hours +=
            real_hours(elapsed - preserved_work(elapsed,
                                                arrivals_[job].can_checkpoint,
                                                true))
                .count() *
            accelerators_of(view->job);
    }
    // A job that ends during the grace period completes normally.
    events_.push({now_ + eviction_grace, event_kind::eviction_end, job,
                  job_statuses_[job].attempt});
}

} // namespace sequoiaroute::benchmarks
