#include "policy/guarantee_check.hpp"

#include "policy/gang_fit.hpp"

#include "policy/guarantee_embedding.hpp"

#include <algorithm>
#include <map>
#include <string>

#include <fmt/format.h>

namespace sequoiaroute::policy {

namespace {

std::string describe_shortage(rule_set const& rules,
                              std::span<worker_view const> workers)
{
    int largest_worker = 0;
    int accelerators = 0;
    for (auto const& worker : workers) {
        largest_worker = std::max(largest_worker, worker.total.accelerators);
        accelerators += worker.total.accelerators;
    }
    int whole_workers_needed = 0;
    int accelerators_needed = 0;
    for (auto const& [name, customer] : rules.customers) {
        for (auto const& shape : customer.guarantees) {
            accelerators_needed += shape.cells * shape.accelerators_per_cell;
            if (shape.within == adjacency::worker &&
                shape.accelerators_per_cell == largest_worker)
                whole_workers_needed += shape.cells;
        }
    }
    auto const whole_workers = std::count_if(
        workers.begin(), workers.end(), [&](worker_view const& worker) {
            return largest_worker > 0 &&
                   worker.total.accelerators == largest_worker;
        });
    if (whole_workers_needed > whole_workers)
        return fmt::format(
            "the guarantees need {} whole workers; the fleet has {}",
            whole_workers_needed, whole_workers);
    if (accelerators_needed > accelerators)
        return fmt::format(
            "the guarantees need {} accelerators; the fleet has {}",
            accelerators_needed, accelerators);
    return "the guarantees do not fit in the fleet at the same time";
}

core::status status_of(canonical_embedding const& canonical,
                       std::span<unplaced_cell const> unplaced,
                       std::string text)
{
    if (unplaced.empty())
        return core::success();
    using shape_key = std::tuple<std::size_t, adjacency, int>;
    std::map<shape_key, int> shapes;
    for (auto const& cell : unplaced)
        ++shapes[{cell.customer, cell.within, cell.accelerators}];
    for (auto const& [shape, count] : shapes) {
        auto const [customer, within, accelerators] = shape;
        text += fmt::format("; no capacity for customer {}: {} cell(s) of {} "
                            "accelerator(s) within {}",
                            canonical.customer_name(customer), count,
                            accelerators, describe_scope(within));
    }
    return core::error{core::result_code::guarantees_do_not_fit,
                       std::move(text)};
}

} // namespace

core::status check_guarantees(rule_set const& rules,
                              std::span<worker_view const> workers)
{
    worker_topology const topology(workers);
    canonical_embedding const canonical(rules, topology);
    return status_of(canonical, canonical.unplaced(),
                     describe_shortage(rules, workers));
}

core::status check_reclaimable(cluster_view const& cluster)
{
    worker_topology const topology(cluster.workers);
    canonical_embedding const canonical(cluster.rules, topology);
    guarantee_embedding embedding(canonical, topology);
    for (auto const& running : cluster.running) {
        if (running.is_borrowing)
            continue;
        auto const customer = canonical.customer_index(running.job.customer);
        for (auto const worker : running.members)
            embedding.charge(customer, worker, running.job.member);
    }
    return status_of(canonical, embedding.embed().unplaced,
                     "non-borrowing jobs hold capacity of the guarantees");
}

} // namespace sequoiaroute::policy
