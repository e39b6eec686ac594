#include "policy/guarantee_ledger.hpp"

namespace sequoiaroute::policy {

namespace {

int accelerators_of(job_view const& job)
{
    return job.member.accelerators * job.members;
}

} // namespace

guarantee_ledger::guarantee_ledger(cluster_view const& cluster,
                                   worker_topology const& topology)
    : cluster_(cluster), topology_(topology),
      canonical_(cluster.rules, topology), embedding_(canonical_, topology),
      charged_accelerators_(cluster.rules.customers.size())
{
    for (auto const& running : cluster.running) {
        if (running.is_borrowing)
            continue;
        auto const customer = customer_index(running.job);
        if (customer != canonical_embedding::no_customer)
            charged_accelerators_[customer] += accelerators_of(running.job);
        for (auto const worker : running.members)
            embedding_.charge(customer, worker, running.job.member);
    }
    outcome_ = embedding_.embed();
}

std::size_t guarantee_ledger::customer_index(job_view const& job) const
{
    return canonical_.customer_index(job.customer);
}

bool guarantee_ledger::fits_remaining_guarantee(job_view const& job) const
{
    auto const customer = customer_index(job);
    return customer != canonical_embedding::no_customer &&
           accelerators_of(job) > 0 &&
           charged_accelerators_[customer] + accelerators_of(job) <=
               canonical_.guaranteed_accelerators(customer);
}

void guarantee_ledger::set_eviction_cost(std::vector<double> cost)
{
    embedding_.set_eviction_cost(std::move(cost));
    outcome_ = embedding_.embed();
}

bool guarantee_ledger::charge(job_view const& job,
                              std::span<std::size_t const> members)
{
    auto const customer = customer_index(job);
    for (auto const worker : members)
        embedding_.charge(customer, worker, job.member);
    auto outcome = embedding_.embed();
    if (outcome.unplaced_accelerators <= outcome_.unplaced_accelerators &&
        outcome.misplaced_accelerators <= outcome_.misplaced_accelerators) {
        outcome_ = std::move(outcome);
        if (customer != canonical_embedding::no_customer)
            charged_accelerators_[customer] += accelerators_of(job);
        return true;
    }
    for (auto const worker : members)
        embedding_.discharge(customer, worker, job.member);
    return false;
}

std::optional<guarantee_ledger::members>
guarantee_ledger::fit_in_guarantee(job_view const& job,
                                   best_fit_search& fit) const
{
    auto const customer = customer_index(job);
    std::vector<int> unused_accelerators(cluster_.workers.size());
    for (auto const& slice : outcome_.slices) {
        if (slice.customer == customer)
            unused_accelerators[slice.worker] +=
                slice.accelerators - slice.used;
    }
    std::vector<resources> available(unused_accelerators.size());
    for (std::size_t index = 0; index < unused_accelerators.size(); ++index) {
        if (unused_accelerators[index] == 0)
            continue;
        auto const& total = cluster_.workers[index].total;
        auto const proportional_share = [&](int amount) {
            return static_cast<int>(static_cast<long>(amount) *
                                    unused_accelerators[index] /
                                    total.accelerators);
        };
        available[index] = {proportional_share(total.cores),
                            proportional_share(total.memory_megabytes),
                            unused_accelerators[index]};
    }
    return fit.fit(job, available);
}

bool guarantee_ledger::fits_unguaranteed_when_idle(job_view const& job,
                                                   best_fit_search& fit) const
{
    guarantee_embedding idle(canonical_, topology_);
    auto const unplaced_before = idle.embed().unplaced_accelerators;
    std::vector<resources> totals;
    for (auto const& worker : cluster_.workers)
        totals.push_back(worker.total);
    auto const found = fit.fit(job, totals);
    if (!found)
        return true; // Workers that accept no work now may run it later.
    for (auto const worker : *found)
        idle.charge(customer_index(job), worker, job.member);
    return idle.embed().unplaced_accelerators <= unplaced_before;
}

} // namespace sequoiaroute::policy
