#include "policy/event_driver.hpp"

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

constexpr core::duration grace = seconds(5);
constexpr core::duration step = seconds(1);
constexpr core::duration tick = minutes(2);
/// On large fleets something happens often enough between ticks.
constexpr core::duration tick_of_large_fleet = minutes(15);
constexpr std::size_t large_fleet = 100;
constexpr core::duration time_down = minutes(30);
constexpr core::duration time_bad = hours(3);
constexpr double worker_hours_between_failures = 10 * 24;
constexpr std::size_t distinct_failed_workers = 3;
/// Bounds a run whose jobs do not end.
constexpr core::duration longest_drain = hours(24 * 14);

using real_hours = std::chrono::duration<double, std::ratio<3600>>;

int accelerators_of(policy::job_view const& job)
{
    return job.member.accelerators * job.members;
}

} // namespace

event_driver::event_driver(load const& load, std::uint64_t seed,
                           policy::placement_policy& policy)
    : load_(load), policy_(policy), arrivals_(draw_arrivals(load, seed)),
      status_(arrivals_.size()), workers_(load.workers),
      is_down_(workers_.size()), is_bad_(workers_.size()), random_(seed + 1),
      now_(seconds(0))
{
    for (std::size_t job = 0; job < arrivals_.size(); ++job) {
        auto const& arrival = arrivals_[job];
        number_of_.emplace(arrival.job.job_id, job);
        status_[job].left = arrival.run_time;
        events_.push({arrival.job.submitted_at, event_kind::arrival, job});
        if (arrival.cancelled_after != core::duration::max())
            events_.push({arrival.job.submitted_at + arrival.cancelled_after,
                          event_kind::cancel, job});
        arrivals_end_ = std::max(arrivals_end_, arrival.job.submitted_at);
        if (arrival.job.kind != "service")
            ++open_jobs_;
    }
    schedule_faults(seed + 2);
    events_.push({now_ + tick, event_kind::tick});
}

void event_driver::schedule_faults(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    auto const horizon =
        std::chrono::duration_cast<core::duration>(real_hours(load_.days * 24));
    for (std::size_t worker = 0; worker < workers_.size(); ++worker) {
        auto at = now_;
        while (true) {
            at += std::chrono::duration_cast<core::duration>(real_hours(
                absl::Exponential(random, 1 / worker_hours_between_failures)));
            if (at - now_ > horizon)
                break;
            events_.push({at, event_kind::worker_down, worker});
            events_.push({at + time_down, event_kind::worker_up, worker});
        }
    }
    // Twice, a worker fails everything that it starts.
    for (int count = 0; count < 2; ++count) {
        auto const worker =
            absl::Uniform<std::size_t>(random, 0, workers_.size());
        auto const at = now_ + horizon * (2 * count + 1) / 5;
        events_.push({at, event_kind::worker_bad, worker});
        events_.push({at + time_bad, event_kind::worker_good, worker});
    }
}

policy::cluster_view event_driver::view() const
{
    return {workers_, pending_, running_, load_.rules};
}

std::size_t event_driver::number_of(std::string const& job_id) const
{
    return number_of_.at(job_id);
}

policy::running_job_view* event_driver::running_view(std::size_t job)
{
    auto const found = running_index_.find(job);
    return found == running_index_.end() ? nullptr : &running_[found->second];
}

measurements event_driver::run()
{
    while (!events_.empty() && open_jobs_ > 0 &&
           now_ < arrivals_end_ + longest_drain) {
        auto const at = events_.top().at;
        auto const steps =
            (at.time_since_epoch() + step - core::duration(1)) / step;
        now_ = core::time_point(step * steps);
        while (!events_.empty() && events_.top().at <= now_) {
            auto const event = events_.top();
            events_.pop();
            handle(event);
        }
        update_workers();
        decide();
        // Fragmentation counts while work arrives, not while it drains.
        if (now_ <= arrivals_end_)
            sampler_.sample(view(), now_);
    }
    result_.unfinished = static_cast<int>(open_jobs_);
    sampler_.write(result_);
    return std::move(result_);
}

void event_driver::handle(event const& event)
{
    auto const subject = event.subject;
    switch (event.kind) {
    case event_kind::arrival:
        pending_.push_back(arrivals_[subject].job);
        return;
    case event_kind::end:
        if (status_[subject].attempt == event.attempt &&
            status_[subject].state == job_state::running)
            end(subject);
        return;
    case event_kind::stopped:
        if (status_[subject].attempt == event.attempt &&
            status_[subject].state == job_state::running)
            stop(subject);
        return;
    case event_kind::cancel:
        cancel(subject);
        return;
    case event_kind::worker_down:
        fail_worker(subject);
        return;
    case event_kind::worker_up:
        is_down_[subject] = false;
        return;
    case event_kind::worker_bad:
    case event_kind::worker_good:
        is_bad_[subject] = event.kind == event_kind::worker_bad;
        return;
    case event_kind::tick:
        events_.push(
            {now_ +
                 (workers_.size() < large_fleet ? tick : tick_of_large_fleet),
             event_kind::tick});
        return;
    }
}

void event_driver::update_workers()
{
    for (std::size_t index = 0; index < workers_.size(); ++index)
        workers_[index].accepts_work =
            !is_down_[index] &&
            !quarantine_.is_quarantined(workers_[index].worker_id, now_);
}

void event_driver::remove_pending(std::size_t job)
{
    auto const& job_id = arrivals_[job].job.job_id;
    std::erase_if(pending_,
                  [&](auto const& item) { return item.job_id == job_id; });
    monitor_.forget(job_id);
}

void event_driver::remove_running(std::size_t job)
{
    auto const index = running_index_.at(job);
    auto const& view = running_[index];
    for (auto const worker : view.members)
        workers_[worker].free = workers_[worker].free + view.job.member;
    running_index_.erase(job);
    if (index + 1 != running_.size()) {
        running_[index] = std::move(running_.back());
        running_index_[number_of(running_[index].job.job_id)] = index;
    }
    running_.pop_back();
}

void event_driver::finish(std::size_t job, bool has_succeeded)
{
    auto& status = status_[job];
    status.state = job_state::ended;
    auto const& view = arrivals_[job].job;
    if (view.kind == "service")
        return;
    --open_jobs_;
    if (!has_succeeded)
        return;
    if (view.deadline != core::time_point::max()) {
        ++result_.deadlines;
        result_.deadlines_missed += now_ > view.deadline ? 1 : 0;
    }
    // What is there at the start was not placed under this load.
    if (view.submitted_at.time_since_epoch() == core::duration{})
        return;
    auto const* const name = view.is_urgent ? "urgent"
                             : accelerators_of(view) >= load_.large_accelerators
                                 ? "large"
                                 : "rest";
    result_.completion_hours[name].push_back(
        real_hours(now_ - view.submitted_at).count());
}

void event_driver::end(std::size_t job)
{
    if (status_[job].will_fail) {
        fail(job);
        return;
    }
    auto const view = *running_view(job);
    for (auto const worker : view.members)
        quarantine_.note_success(workers_[worker].worker_id);
    remove_running(job);
    policy_.observe_end(view.job, now_ - view.started_at, true);
    finish(job, true);
}

void event_driver::fail(std::size_t job)
{
    auto& status = status_[job];
    auto const view = *running_view(job);
    policy_.observe_end(view.job, now_ - view.started_at, false);
    for (auto const worker : view.members) {
        if (!is_bad_[worker])
            continue;
        auto const& id = workers_[worker].worker_id;
        quarantine_.note_failure(
            {id, view.job.job_id, view.job.customer, view.job.kind, now_},
            workers_.size());
        auto& failed = status.failed_workers;
        if (std::find(failed.begin(), failed.end(), id) == failed.end())
            failed.push_back(id);
        break;
    }
    remove_running(job);
    if (view.job.is_unrepeatable ||
        status.failed_workers.size() >= distinct_failed_workers) {
        quarantine_.discard_failures_of_job(view.job.job_id);
        finish(job, false);
        return;
    }
    requeue(job);
}

void event_driver::requeue(std::size_t job)
{
    status_[job].state = job_state::waiting;
    pending_.push_back(arrivals_[job].job);
    pending_.back().avoided_workers = status_[job].failed_workers;
}

void event_driver::stop(std::size_t job)
{
    auto const view = *running_view(job);
    auto const elapsed = now_ - view.started_at;
    auto const kept = kept_work(elapsed, arrivals_[job].can_checkpoint, true);
    status_[job].left -= kept;
    auto const lost =
        real_hours(elapsed - kept).count() * accelerators_of(view.job);
    result_.work_lost_hours += lost;
    remove_running(job);
    requeue(job);
}

void event_driver::cancel(std::size_t job)
{
    auto& status = status_[job];
    if (status.state == job_state::ended)
        return;
    if (status.state == job_state::running)
        remove_running(job);
    else
        remove_pending(job);
    ++status.attempt;
    finish(job, false);
}

void event_driver::fail_worker(std::size_t worker)
{
    is_down_[worker] = true;
    std::vector<std::size_t> hit;
    for (auto const& view : running_) {
        if (std::find(view.members.begin(), view.members.end(), worker) !=
            view.members.end())
            hit.push_back(number_of(view.job.job_id));
    }
    for (auto const job : hit) {
        auto const view = *running_view(job);
        ++status_[job].attempt;
        remove_running(job);
        if (view.job.is_unrepeatable) {
            finish(job, false);
            continue;
        }
        status_[job].left -= kept_work(now_ - view.started_at,
                                       arrivals_[job].can_checkpoint, false);
        requeue(job);
    }
}

void event_driver::decide()
{
    auto const before = thread_microseconds();
    auto const decision = policy_.decide(view(), now_);
    result_.decision_microseconds.push_back(thread_microseconds() - before);
    for (auto const& eviction : decision.evictions)
        apply(eviction);
    for (auto const& placement : decision.placements)
        apply(placement);
    for (auto const& rejection : decision.rejections) {
        ++result_.rejected;
        remove_pending(number_of(rejection.job_id));
        finish(number_of(rejection.job_id), false);
    }
    monitor_.observe(view(), now_, result_);
}

void event_driver::apply(policy::placement const& placement)
{
    auto const job = number_of(placement.job_id);
    auto& status = status_[job];
    auto const found =
        std::find_if(pending_.begin(), pending_.end(), [&](auto const& item) {
            return item.job_id == placement.job_id;
        });
    auto const view = *found;
    pending_.erase(found);
    monitor_.note_start(placement.job_id, now_, result_);
    if (placement.members.size() != static_cast<std::size_t>(view.members))
        promise_monitor::note_broken(result_, "partial gang " + view.job_id);
    status.will_fail = false;
    for (auto const worker : placement.members) {
        auto& free = workers_[worker].free;
        free = free - view.member;
        if (free.accelerators < 0 || free.cores < 0 ||
            free.memory_megabytes < 0 || !workers_[worker].accepts_work)
            promise_monitor::note_broken(result_, "no room for " + view.job_id);
        status.will_fail = status.will_fail || is_bad_[worker];
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
                                    absl::Uniform<int>(random_, 30, 90)))
                              : std::max<core::duration>(status.left, step)),
                  event_kind::end, job, status.attempt});
}

void event_driver::apply(policy::eviction const& eviction)
{
    auto const job = number_of(eviction.job_id);
    auto* const view = running_view(job);
    if (!view->is_borrowing || view->job.is_unrepeatable)
        promise_monitor::note_broken(result_, "evicted " + eviction.job_id);
    view->is_stopping = true;
    ++result_.evictions;
    if (eviction.reason == policy::eviction_reason::defragmentation) {
        ++result_.moves;
        auto const elapsed = now_ - view->started_at;
        result_.moved_work_lost_hours +=
            real_hours(elapsed -
                       kept_work(elapsed, arrivals_[job].can_checkpoint, true))
                .count() *
            accelerators_of(view->job);
    }
    // An end that comes before the stop counts.
    events_.push(
        {now_ + grace, event_kind::stopped, job, status_[job].attempt});
}

} // namespace sequoiaroute::benchmarks
