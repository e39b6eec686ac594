#include "policy/guarantee_ledger.hpp"

namespace sequoiaroute::policy {

namespace {

int accelerators_of(job_view const& job)
{
    return job.member.accelerators * job.members;
}

} // namespace

guarantee_ledger::guarantee_ledger(cluster_view const& cluster,
                                   worker_topology const& tree)
    : cluster_(cluster), tree_(tree), canonical_(cluster.rules, tree),
      embedding_(canonical_, tree), charged_(cluster.rules.customers.size())
{
    for (auto const& running : cluster.running) {
        if (running.is_borrowing)
            continue;
        auto const customer = customer_index(running.job);
        if (customer != canonical_cells::no_customer)
            charged_[customer] += accelerators_of(running.job);
        for (auto const worker : running.members)
            embedding_.charge(customer, worker, running.job.member);
    }
    outcome_ = embedding_.embed();
}

std::size_t guarantee_ledger::customer_index(job_view const& job) const
{
    return canonical_.customer_index(job.customer);
}

bool guarantee_ledger::has_guarantee_left(job_view const& job) const
{
    auto const customer = customer_index(job);
    return customer != canonical_cells::no_customer &&
           accelerators_of(job) > 0 &&
           charged_[customer] + accelerators_of(job) <=
               canonical_.guaranteed_accelerators(customer);
}

void guarantee_ledger::set_cost(std::vector<double> cost)
{
    embedding_.set_cost(std::move(cost));
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
        if (customer != canonical_cells::no_customer)
            charged_[customer] += accelerators_of(job);
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
    std::vector<int> cells(cluster_.workers.size());
    for (auto const& slice : outcome_.slices) {
        if (slice.customer == customer)
            cells[slice.worker] += slice.accelerators - slice.used;
    }
    std::vector<resources> room(cells.size());
    for (std::size_t index = 0; index < cells.size(); ++index) {
        if (cells[index] == 0)
            continue;
        auto const& total = cluster_.workers[index].total;
        auto const share = [&](int amount) {
            return static_cast<int>(static_cast<long>(amount) * cells[index] /
                                    total.accelerators);
        };
        room[index] = {share(total.cores), share(total.memory_megabytes),
                       cells[index]};
    }
    return fit.fit(job, room);
}

bool guarantee_ledger::could_take_when_idle(job_view const& job,
                                            best_fit_search& fit) const
{
    guarantee_embedding idle(canonical_, tree_);
    auto const before = idle.embed().unplaced_accelerators;
    std::vector<resources> totals;
    for (auto const& worker : cluster_.workers)
        totals.push_back(worker.total);
    auto const found = fit.fit(job, totals);
    if (!found)
        return true; // Workers that charge no work now may hold it later.
    for (auto const worker : *found)
        idle.charge(customer_index(job), worker, job.member);
    return idle.embed().unplaced_accelerators <= before;
}

} // namespace sequoiaroute::policy
