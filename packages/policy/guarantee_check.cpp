#include "policy/guarantee_check.hpp"

#include "policy/gang_fit.hpp"

#include "policy/guarantee_embedding.hpp"

#include <algorithm>
#include <map>
#include <string>

#include <fmt/format.h>

namespace sequoiaroute::policy {

namespace {

std::string shortage(rule_set const& rules,
                     std::span<worker_view const> workers)
{
    int largest = 0;
    int accelerators = 0;
    for (auto const& worker : workers) {
        largest = std::max(largest, worker.total.accelerators);
        accelerators += worker.total.accelerators;
    }
    int whole_needed = 0;
    int needed = 0;
    for (auto const& [name, customer] : rules.customers) {
        for (auto const& shape : customer.guarantees) {
            needed += shape.cells * shape.accelerators_per_cell;
            if (shape.within == adjacency::worker &&
                shape.accelerators_per_cell == largest)
                whole_needed += shape.cells;
        }
    }
    auto const whole = std::count_if(
        workers.begin(), workers.end(), [&](worker_view const& worker) {
            return largest > 0 && worker.total.accelerators == largest;
        });
    if (whole_needed > whole)
        return fmt::format(
            "the guarantees need {} whole workers; the fleet has {}",
            whole_needed, whole);
    if (needed > accelerators)
        return fmt::format(
            "the guarantees need {} accelerators; the fleet has {}", needed,
            accelerators);
    return "the guarantees do not fit into the fleet at the same time";
}

core::status report(canonical_cells const& canonical,
                    std::span<unplaced_cell const> unplaced, std::string text)
{
    if (unplaced.empty())
        return core::success();
    using shape_key = std::tuple<std::size_t, adjacency, int>;
    std::map<shape_key, int> shapes;
    for (auto const& cell : unplaced)
        ++shapes[{cell.customer, cell.within, cell.accelerators}];
    for (auto const& [shape, count] : shapes) {
        auto const [customer, within, accelerators] = shape;
        text += fmt::format("; no room for customer {}: {} cell(s) of {} "
                            "accelerator(s) within {}",
                            canonical.customer_name(customer), count,
                            accelerators, place_name(within));
    }
    return core::error{core::result_code::guarantees_do_not_fit,
                       std::move(text)};
}

} // namespace

core::status check_guarantees(rule_set const& rules,
                              std::span<worker_view const> workers)
{
    worker_topology const tree(workers);
    canonical_cells const canonical(rules, tree);
    return report(canonical, canonical.unplaced(), shortage(rules, workers));
}

core::status check_reclaimable(cluster_view const& cluster)
{
    worker_topology const tree(cluster.workers);
    canonical_cells const canonical(cluster.rules, tree);
    guarantee_embedding embedding(canonical, tree);
    for (auto const& running : cluster.running) {
        if (running.is_borrowing)
            continue;
        auto const customer = canonical.customer_index(running.job.customer);
        for (auto const worker : running.members)
            embedding.charge(customer, worker, running.job.member);
    }
    return report(canonical, embedding.embed().unplaced,
                  "non-borrowing jobs hold room of the guarantees");
}

} // namespace sequoiaroute::policy
