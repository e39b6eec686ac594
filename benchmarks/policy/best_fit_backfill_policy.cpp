#include "policy/best_fit_backfill_policy.hpp"

#include "policy/gang_fit.hpp"
#include "policy/infeasible_shapes.hpp"
#include "policy/waiting_text.hpp"

#include <algorithm>
#include <map>

namespace sequoiaroute::benchmarks {

using namespace policy;

struct best_fit_backfill_policy::round
{
    round(cluster_view const& view, core::time_point time)
        : cluster(view), now(time), tree(view.workers), fit(tree),
          ledger(view, tree), planner(view, time)
    {
        for (auto const& worker : view.workers)
            free.push_back(worker.free);
        for (auto const& running : view.running)
            held[running.job.customer] +=
                running.job.member.accelerators * running.job.members;
        ledger.set_eviction_cost(planner.eviction_cost_by_worker());
    }

    bool is_within_limit(job_view const& job)
    {
        auto const found = cluster.rules.customers.find(job.customer);
        auto const limit = found == cluster.rules.customers.end()
                               ? 0
                               : found->second.limits.accelerators;
        return limit == 0 ||
               held[job.customer] + job.member.accelerators * job.members <=
                   limit;
    }

    cluster_view const& cluster;
    core::time_point now;
    worker_topology tree;
    best_fit_search fit;
    guarantee_ledger ledger;
    eviction_planner planner;
    std::vector<resources> free;
    std::map<std::string, int> held;
    std::optional<gang_reservation> reservation;
    infeasible_shapes failed;
    decision result;
};

void best_fit_backfill_policy::start(round& round, job_view const& job,
                                     best_fit_search::members members,
                                     bool is_borrowing)
{
    for (auto const worker : members)
        round.free[worker] = round.free[worker] - job.member;
    round.held[job.customer] += job.member.accelerators * job.members;
    round.result.placements.push_back(
        {job.job_id, std::move(members), is_borrowing});
}

bool best_fit_backfill_policy::place_owner(round& round, job_view const& job)
{
    if (!round.ledger.fits_remaining_guarantee(job))
        return false;
    auto const found = round.fit.fit(job, round.free);
    if (found && round.ledger.charge(job, *found)) {
        start(round, job, *found, false);
        return true;
    }
    auto const own = round.ledger.fit_in_guarantee(job, round.fit);
    if (!own)
        return false;
    auto const victims = round.planner.plan(
        job, *own, round.free, [](running_job_view const&) { return true; });
    if (!victims || !round.ledger.charge(job, *own))
        return false;
    auto room = round.free;
    bool is_free = true;
    for (auto const worker : *own) {
        room[worker] = room[worker] - job.member;
        is_free = is_free && room[worker].accelerators >= 0 &&
                  room[worker].cores >= 0 && room[worker].memory_megabytes >= 0;
    }
    if (is_free) {
        start(round, job, *own, false);
        return true;
    }
    for (auto const victim : *victims)
        round.result.evictions.push_back(
            {round.cluster.running[victim].job.job_id,
             eviction_reason::guarantee_reclaimed, job.job_id});
    round.planner.mark_stopping(*victims);
    for (auto const worker : *own)
        round.free[worker] = round.free[worker] - job.member;
    return true;
}

bool best_fit_backfill_policy::place(round& round, job_view const& job)
{
    auto room = round.free;
    bool const is_short =
        !round.reservation ||
        round.now + job.declared_run_time <= round.reservation->start();
    if (!is_short)
        round.reservation->limit(room);
    auto const pool = is_short ? capacity_pool::borrowable_until_reservation
                               : capacity_pool::borrowable_past_reservation;
    if (!job.is_unrepeatable && round.failed.excludes(job, pool))
        return false;
    auto found = round.fit.fit(job, room);
    if (!found) {
        round.failed.record(job, pool);
        return false;
    }
    if (job.is_unrepeatable && !round.ledger.charge(job, *found))
        return false;
    if (!is_short) {
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
        return round.is_within_limit(*job) && place_owner(round, *job);
    });
    int waiting = 0;
    for (auto const* job : queue) {
        if (!round.is_within_limit(*job) || place(round, *job))
            continue;
        if (!round.fit.fits_idle_fleet(*job)) {
            round.result.rejections.push_back(
                {job->job_id, infeasibility_reason(*job, cluster.workers)
                                  .value_or("fits no worker")});
            continue;
        }
        round.result.notes.push_back(
            {job->job_id, waiting_text(*job, waiting++)});
        // The room of an unrepeatable job also depends on the guarantees, so
        // a reservation for it could hold back the queue for ever.
        if (round.reservation || job->is_unrepeatable)
            continue;
        round.reservation = gang_reservation::create(
            *job, cluster, round.tree, round.free, now,
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
