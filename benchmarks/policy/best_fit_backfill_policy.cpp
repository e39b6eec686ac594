#include "policy/best_fit_backfill_policy.hpp"

#include "policy/gang_fit.hpp"
#include "policy/infeasible_shapes.hpp"
#include "policy/waiting_text.hpp"

#include <algorithm>
#include <map>

namespace sequoiaroute::benchmarks {

using namespace policy;

/// The state of one scheduling round.
struct best_fit_backfill_policy::round
{
    round(cluster_view const& view, core::time_point time)
        : cluster(view), now(time), topology(view.workers), search(topology),
          ledger(view, topology), planner(view, time)
    {
        for (auto const& worker : view.workers)
            free.push_back(worker.free);
        for (auto const& running : view.running)
            accelerators_in_use[running.job.customer] +=
                running.job.member.accelerators * running.job.members;
        ledger.set_eviction_cost(planner.eviction_cost_by_worker());
    }

    /// @return true if the job does not exceed its customer's accelerator limit
    bool is_within_limit(job_view const& job)
    {
        auto const found = cluster.rules.customers.find(job.customer);
        auto const limit = found == cluster.rules.customers.end()
                               ? 0
                               : found->second.limits.accelerators;
        return limit == 0 || accelerators_in_use[job.customer] +
                                     job.member.accelerators * job.members <=
                                 limit;
    }

    cluster_view const& cluster;
    core::time_point now;
    worker_topology topology;
    best_fit_search search;
    guarantee_ledger ledger;
    eviction_planner planner;
    std::vector<resources> free;
    std::map<std::string, int> accelerators_in_use; ///< by customer
    std::optional<gang_reservation> reservation;
    infeasible_shapes unplaceable;
    decision result;
};

void best_fit_backfill_policy::start(round& round, job_view const& job,
                                     best_fit_search::members members,
                                     bool is_borrowing)
{
    for (auto const worker : members)
        round.free[worker] = round.free[worker] - job.member;
    round.accelerators_in_use[job.customer] +=
        job.member.accelerators * job.members;
    round.result.placements.push_back(
        {job.job_id, std::move(members), is_borrowing});
}

bool best_fit_backfill_policy::place_within_guarantee(round& round,
                                                      job_view const& job)
{
    if (!round.ledger.fits_remaining_guarantee(job))
        return false;
    auto const found = round.search.fit(job, round.free);
    if (found && round.ledger.charge(job, *found)) {
        start(round, job, *found, false);
        return true;
    }
    auto const guaranteed_workers =
        round.ledger.fit_in_guarantee(job, round.search);
    if (!guaranteed_workers)
        return false;
    auto const victims =
        round.planner.plan(job, *guaranteed_workers, round.free,
                           [](running_job_view const&) { return true; });
    if (!victims || !round.ledger.charge(job, *guaranteed_workers))
        return false;
    auto free_after_start = round.free;
    bool fits_without_eviction = true;
    for (auto const worker : *guaranteed_workers) {
        free_after_start[worker] = free_after_start[worker] - job.member;
        fits_without_eviction = fits_without_eviction &&
                                free_after_start[worker].accelerators >= 0 &&
                                free_after_start[worker].cores >= 0 &&
                                free_after_start[worker].memory_megabytes >= 0;
    }
    if (fits_without_eviction) {
        start(round, job, *guaranteed_workers, false);
        return true;
    }
    for (auto const victim : *victims)
        round.result.evictions.push_back(
            {round.cluster.running[victim].job.job_id,
             eviction_reason::guarantee_reclaimed, job.job_id});
    round.planner.mark_stopping(*victims);
    for (auto const worker : *guaranteed_workers)
        round.free[worker] = round.free[worker] - job.member;
    return true;
}

bool best_fit_backfill_policy::place(round& round, job_view const& job)
{
    auto usable = round.free;
    bool const ends_before_reservation =
        !round.reservation ||
        round.now + job.declared_run_time <= round.reservation->start();
    if (!ends_before_reservation)
        round.reservation->limit(usable);
    auto const pool = ends_before_reservation
                          ? capacity_pool::borrowable_until_reservation
                          : capacity_pool::borrowable_past_reservation;
    if (!job.is_unrepeatable && round.unplaceable.excludes(job, pool))
        return false;
    auto found = round.search.fit(job, usable);
    if (!found) {
        round.unplaceable.record(job, pool);
        return false;
    }
    if (job.is_unrepeatable && !round.ledger.charge(job, *found))
        return false;
    if (!ends_before_reservation) {
        for (auto const worker : *found)
            round.reservation->charge(worker, job.member);
    }
    start(round, job, std::move(*found), !job.is_unrepeatable);
    return true;
}

decision best_fit_backfill_policy::decide(cluster_view const& cluster,
                                          core::time_point now)
{
    round round(cluster, now);
    std::vector<job_view const*> queue;
    for (auto const& job : cluster.pending)
        queue.push_back(&job);
    std::stable_sort(queue.begin(), queue.end(), [this](auto* a, auto* b) {
        if (is_urgent_first_ && a->is_urgent != b->is_urgent)
            return a->is_urgent;
        return a->submitted_at < b->submitted_at;
    });
    std::erase_if(queue, [&round](auto* job) {
        return round.is_within_limit(*job) &&
               place_within_guarantee(round, *job);
    });
    int waiting_count = 0;
    for (auto const* job : queue) {
        if (!round.is_within_limit(*job) || place(round, *job))
            continue;
        if (!round.search.fits_idle_fleet(*job)) {
            round.result.rejections.push_back(
                {job->job_id, infeasibility_reason(*job, cluster.workers)
                                  .value_or("fits no worker")});
            continue;
        }
        round.result.notes.push_back(
            {job->job_id, waiting_text(*job, waiting_count++)});
        // An unrepeatable job gets no reservation: it also needs a guarantee,
        // which may never become free, so that a reservation could block the
        // queue forever.
        if (round.reservation || job->is_unrepeatable)
            continue;
        round.reservation = gang_reservation::create(
            *job, cluster, round.topology, round.free, now,
            [now](running_job_view const& running) {
                return std::max<core::duration>(running.job.declared_run_time -
                                                    (now - running.started_at),
                                                std::chrono::minutes(1));
            });
    }
    return std::move(round.result);
}

void best_fit_backfill_policy::observe_end(job_view const& /*job*/,
                                           core::duration /*run_time*/,
                                           bool /*has_succeeded*/)
{
}

} // namespace sequoiaroute::benchmarks
