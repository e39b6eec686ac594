#include "policy/scheduling_round.hpp"

#include "policy/gang_fit.hpp"
#include "policy/waiting_text.hpp"

#include <algorithm>

#include <absl/container/flat_hash_set.h>
#include <fmt/format.h>

namespace sequoiaroute::policy {

namespace {

int accelerators_of(job_view const& job)
{
    return job.member.accelerators * job.members;
}

} // namespace

scheduling_round::scheduling_round(cluster_view const& cluster,
                                   core::time_point now,
                                   policy_weights const& weights,
                                   run_time_history const& history,
                                   int moves_left, worker_claims claims)
    : cluster_(cluster), now_(now), weights_(weights), history_(history),
      moves_left_(moves_left), previous_claims_(std::move(claims)),
      topology_(cluster.workers), fit_(topology_), ledger_(cluster, topology_)
{
    free_.reserve(cluster.workers.size());
    for (auto const& worker : cluster.workers)
        free_.push_back(worker.free);
    count_allocated_accelerators();
}

void scheduling_round::count_allocated_accelerators()
{
    for (auto const& running : cluster_.running) {
        auto const accelerators = accelerators_of(running.job);
        if (accelerators > 0)
            allocated_accelerators_[running.job.customer] += accelerators;
    }
}

eviction_planner& scheduling_round::planner()
{
    if (!planner_) {
        planner_.emplace(cluster_, now_);
        ledger_.set_eviction_cost(planner_->eviction_cost_by_worker());
    }
    return *planner_;
}

job_view const*
scheduling_round::oldest_large_gang(std::vector<queued_job> const& queue)
{
    job_view const* oldest = nullptr;
    for (auto const& [job, is_first_tier, is_starving, score] : queue) {
        if (job->is_unrepeatable ||
            accelerators_of(*job) < weights_.large_gang_accelerators ||
            (oldest != nullptr && oldest->submitted_at <= job->submitted_at))
            continue;
        if (fit_.fits_idle_fleet(*job) && is_within_limit(*job))
            oldest = job;
    }
    return oldest;
}

void scheduling_round::place_guaranteed_jobs(std::vector<queued_job>& queue)
{
    // Guaranteed jobs are placed before all borrowing jobs; otherwise an
    // evicted job could borrow the resources again that were reclaimed from it.
    // Jobs with many accelerators and narrow scopes come first, so that a
    // customer's small jobs do not fragment the cells that its large jobs need.
    std::vector<queued_job> guaranteed_jobs;
    for (auto const& item : queue) {
        if (ledger_.fits_remaining_guarantee(*item.job))
            guaranteed_jobs.push_back(item);
    }
    std::stable_sort(guaranteed_jobs.begin(), guaranteed_jobs.end(),
                     [](auto const& left, auto const& right) {
                         auto const rank = [](queued_job const& item) {
                             return std::tuple(
                                 !item.is_first_tier,
                                 -accelerators_of(*item.job),
                                 -static_cast<int>(item.job->within));
                         };
                         return rank(left) < rank(right);
                     });
    absl::flat_hash_set<job_view const*> placed;
    for (auto const& item : guaranteed_jobs) {
        if (is_within_limit(*item.job) && try_guaranteed(*item.job))
            placed.insert(item.job);
    }
    std::erase_if(queue, [&placed](queued_job const& item) {
        return placed.contains(item.job);
    });
}

decision scheduling_round::run()
{
    auto queue = queue_order(cluster_, now_, weights_, history_);
    place_guaranteed_jobs(queue);
    auto const* const gang = oldest_large_gang(queue);
    bool is_gang_considered = gang == nullptr;
    for (auto const& item : queue) {
        if (!is_gang_considered && !item.is_first_tier) {
            consider(*gang, true);
            is_gang_considered = true;
        }
        if (item.job != gang) {
            consider(*item.job, false);
        } else if (!is_gang_considered) {
            consider(*gang, true);
            is_gang_considered = true;
        }
    }
    return std::move(decision_);
}

bool scheduling_round::is_within_limit(job_view const& job)
{
    auto const found = cluster_.rules.customers.find(job.customer);
    if (found == cluster_.rules.customers.end())
        return true;
    auto const limit = found->second.limits.accelerators;
    return limit == 0 ||
           allocated_accelerators_[job.customer] + accelerators_of(job) <=
               limit;
}

void scheduling_round::consider(job_view const& job, bool is_gang)
{
    if (!is_within_limit(job)) {
        auto const limit =
            cluster_.rules.customers.at(job.customer).limits.accelerators;
        if (accelerators_of(job) > limit)
            decision_.rejections.push_back(
                {job.job_id,
                 fmt::format("needs {}; the limit of customer {} is {}",
                             describe_need(job), job.customer, limit)});
        else
            decision_.notes.push_back(
                {job.job_id,
                 fmt::format("waiting; customer {} holds {} of {} accelerators",
                             job.customer,
                             allocated_accelerators_[job.customer], limit)});
        return;
    }
    if (job.is_unrepeatable ? try_unguaranteed(job) : try_borrow(job))
        return;
    if (reject_if_too_large(job) || reject_if_guaranteed_to_others(job))
        return;
    if (is_gang && try_gang(job))
        return;
    add_waiting_note(job);
}

bool scheduling_round::reject_if_too_large(job_view const& job)
{
    shape_key const key{job.member.cores, job.member.memory_megabytes,
                        job.member.accelerators, job.members, job.within};
    auto const [found, is_new] = fits_idle_fleet_.try_emplace(key);
    if (is_new)
        found->second = fit_.fits_idle_fleet(job);
    if (found->second)
        return false;
    decision_.rejections.push_back(
        {job.job_id, infeasibility_reason(job, cluster_.workers)
                         .value_or("fits no worker")});
    return true;
}

bool scheduling_round::reject_if_guaranteed_to_others(job_view const& job)
{
    if (!job.is_unrepeatable)
        return false;
    if (ledger_.fits_unguaranteed_when_idle(job, fit_))
        return false;
    decision_.rejections.push_back(
        {job.job_id,
         fmt::format("needs {} that are guaranteed to other customers; an "
                     "unrepeatable job cannot borrow them, because it cannot "
                     "be stopped",
                     describe_need(job))});
    return true;
}

bool scheduling_round::try_guaranteed(job_view const& job)
{
    auto const customer = ledger_.customer_index(job);
    if (!ledger_.fits_remaining_guarantee(job) ||
        infeasible_shapes_.excludes(job, capacity_pool::guaranteed, customer))
        return false;
    // The customer's own cells are tried first, so that resources reclaimed for
    // the job are found again and the claim stays on the same workers from
    // round to round.
    planner();
    if (try_previous_claim(job))
        return true;
    auto const guaranteed_workers = ledger_.fit_in_guarantee(job, fit_);
    if (guaranteed_workers && fits_free_resources(job, *guaranteed_workers) &&
        ledger_.charge(job, *guaranteed_workers)) {
        place(job, *guaranteed_workers, false);
        return true;
    }
    auto const found = fit_.fit(job, free_);
    if (found && ledger_.charge(job, *found)) {
        place(job, *found, false);
        return true;
    }
    if (guaranteed_workers && try_reclaim(job, *guaranteed_workers))
        return true;
    infeasible_shapes_.record(job, capacity_pool::guaranteed, customer);
    return false;
}

bool scheduling_round::fits_free_resources(job_view const& job,
                                           members const& members) const
{
    auto available = free_;
    return std::all_of(members.begin(), members.end(), [&](auto worker) {
        available[worker] = available[worker] - job.member;
        return available[worker].cores >= 0 &&
               available[worker].memory_megabytes >= 0 &&
               available[worker].accelerators >= 0;
    });
}

bool scheduling_round::try_previous_claim(job_view const& job)
{
    // The claim is kept even if others are cheaper now; otherwise a job could
    // wait for one eviction after another.
    auto const found = previous_claims_.find(job.job_id);
    if (found == previous_claims_.end())
        return false;
    auto const& members = found->second;
    auto const is_usable = [this](std::size_t worker) {
        return worker < cluster_.workers.size() &&
               cluster_.workers[worker].accepts_work;
    };
    if (!std::all_of(members.begin(), members.end(), is_usable))
        return false;
    auto const victims = planner().plan(
        job, members, free_, [](running_job_view const&) { return false; });
    if (!victims || !ledger_.charge(job, members))
        return false;
    if (fits_free_resources(job, members)) {
        place(job, members, false);
        return true;
    }
    allocate(job, members);
    claims_[job.job_id] = members;
    add_waiting_note(job);
    return true;
}

bool scheduling_round::try_reclaim(job_view const& job,
                                   members const& guaranteed_workers)
{
    auto const victims =
        planner().plan(job, guaranteed_workers, free_,
                       [](running_job_view const&) { return true; });
    if (!victims || !ledger_.charge(job, guaranteed_workers))
        return false;
    evict(job, *victims, eviction_reason::guarantee_reclaimed);
    claims_[job.job_id] = guaranteed_workers;
    allocate(job, guaranteed_workers);
    decision_.notes.push_back(
        {job.job_id, fmt::format("reclaiming {} guaranteed to customer {}",
                                 describe_need(job), job.customer)});
    return true;
}

bool scheduling_round::try_unguaranteed(job_view const& job)
{
    if (infeasible_shapes_.excludes(job, capacity_pool::unguaranteed))
        return false;
    auto available = free_;
    if (reservation_)
        reservation_->limit(available);
    auto found = fit_.fit(job, available);
    if (found && ledger_.charge(job, *found)) {
        if (reservation_) {
            for (auto const worker : *found)
                reservation_->charge(worker, job.member);
        }
        place(job, std::move(*found), false);
        return true;
    }
    infeasible_shapes_.record(job, capacity_pool::unguaranteed);
    return false;
}

bool scheduling_round::try_borrow(job_view const& job)
{
    if (!reservation_ || job.is_urgent ||
        now_ + history_.estimate(job).percentile_90 <= reservation_->start()) {
        if (infeasible_shapes_.excludes(
                job, capacity_pool::borrowable_until_reservation))
            return false;
        auto found = fit_.fit(job, free_);
        if (!found) {
            infeasible_shapes_.record(
                job, capacity_pool::borrowable_until_reservation);
            return false;
        }
        place(job, std::move(*found), true);
        return true;
    }
    if (infeasible_shapes_.excludes(
            job, capacity_pool::borrowable_past_reservation) ||
        infeasible_shapes_.excludes(
            job, capacity_pool::borrowable_until_reservation))
        return false;
    auto available = free_;
    reservation_->limit(available);
    auto found = fit_.fit(job, available);
    if (!found) {
        infeasible_shapes_.record(job,
                                  capacity_pool::borrowable_past_reservation);
        return false;
    }
    for (auto const worker : *found)
        reservation_->charge(worker, job.member);
    place(job, std::move(*found), true);
    return true;
}

void scheduling_round::allocate(job_view const& job, members const& members)
{
    // The resources are deducted immediately, so that no other job starts on
    // them while evicted jobs stop. Claims are renewed in each round.
    for (auto const worker : members)
        free_[worker] = free_[worker] - job.member;
    allocated_accelerators_[job.customer] += accelerators_of(job);
}

void scheduling_round::place(job_view const& job, members members,
                             bool is_borrowing)
{
    allocate(job, members);
    decision_.placements.push_back(
        {job.job_id, std::move(members), is_borrowing});
}

void scheduling_round::evict(job_view const& job,
                             eviction_planner::victims const& victims,
                             eviction_reason reason)
{
    for (auto const index : victims)
        decision_.evictions.push_back(
            {cluster_.running[index].job.job_id, reason, job.job_id});
    planner().mark_stopping(victims);
}

void scheduling_round::add_waiting_note(job_view const& job)
{
    decision_.notes.push_back({job.job_id, waiting_text(job, waiting_jobs_++)});
}

} // namespace sequoiaroute::policy
