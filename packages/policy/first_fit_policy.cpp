#include "policy/first_fit_policy.hpp"

#include "policy/gang_fit.hpp"
#include "policy/waiting_text.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::policy {

namespace {

int accelerators_of(job_view const& job)
{
    return job.member.accelerators * job.members;
}

int accelerator_limit(rule_set const& rules, std::string const& customer)
{
    auto const found = rules.customers.find(customer);
    return found == rules.customers.end() ? 0
                                          : found->second.limits.accelerators;
}

void subtract(resources& available, resources const& need)
{
    available.cores -= need.cores;
    available.memory_megabytes -= need.memory_megabytes;
    available.accelerators -= need.accelerators;
}

} // namespace

first_fit_policy::round
first_fit_policy::start_round(cluster_view const& cluster)
{
    round round;
    for (auto const& worker : cluster.workers)
        round.free.push_back(worker.free);
    for (auto const& running : cluster.running)
        round.allocated_accelerators[running.job.customer] +=
            accelerators_of(running.job);
    return round;
}

void first_fit_policy::consider(cluster_view const& cluster,
                                job_view const& job, round& round,
                                decision& decision)
{
    if (auto const reason = infeasibility_reason(job, cluster.workers)) {
        decision.rejections.push_back({job.job_id, *reason});
        return;
    }
    auto const limit = accelerator_limit(cluster.rules, job.customer);
    auto& allocated = round.allocated_accelerators[job.customer];
    if (limit > 0 && accelerators_of(job) > limit) {
        decision.rejections.push_back(
            {job.job_id, fmt::format("needs {}; the limit of customer {} is {}",
                                     describe_need(job), job.customer, limit)});
        return;
    }
    if (limit > 0 && allocated + accelerators_of(job) > limit) {
        decision.notes.push_back(
            {job.job_id,
             fmt::format("waiting; customer {} holds {} of {} accelerators",
                         job.customer, allocated, limit)});
        ++round.waiting_jobs;
        return;
    }
    auto members = find_first_fit(job, cluster.workers, round.free);
    if (!members) {
        decision.notes.push_back(
            {job.job_id, waiting_text(job, round.waiting_jobs++)});
        return;
    }
    allocated += accelerators_of(job);
    for (auto const index : *members)
        subtract(round.free[index], job.member);
    decision.placements.push_back({job.job_id, std::move(*members), false});
}

decision first_fit_policy::decide(cluster_view const& cluster,
                                  core::time_point /*now*/)
{
    std::vector<job_view const*> queue;
    for (auto const& job : cluster.pending)
        queue.push_back(&job);
    std::stable_sort(queue.begin(), queue.end(), [](auto* left, auto* right) {
        return left->submitted_at < right->submitted_at;
    });
    auto round = start_round(cluster);
    decision decision;
    for (auto const* job : queue)
        consider(cluster, *job, round, decision);
    return decision;
}

void first_fit_policy::observe_end(job_view const& /*job*/,
                                   core::duration /*run_time*/,
                                   bool /*has_succeeded*/)
{
}

} // namespace sequoiaroute::policy
