#include "policy/guarantee_monitor.hpp"

#include <algorithm>

#include <absl/container/flat_hash_map.h>
#include <fmt/format.h>

namespace sequoiaroute::benchmarks {

namespace {

/// A cell of a guarantee that is not completely used.
struct unused_cell
{
    int free_accelerators;
    policy::adjacency within;
};

int accelerators_of(policy::job_view const& job)
{
    return job.member.accelerators * job.members;
}

/// Charges a job to the cell with the fewest free accelerators that fits it.
/// @return false if no cell fits
bool occupy_cell(std::vector<unused_cell>& cells, policy::job_view const& job)
{
    unused_cell* best = nullptr;
    for (auto& cell : cells) {
        if (cell.free_accelerators >= accelerators_of(job) &&
            cell.within >= job.within &&
            (best == nullptr ||
             cell.free_accelerators < best->free_accelerators))
            best = &cell;
    }
    if (best == nullptr)
        return false;
    best->free_accelerators -= accelerators_of(job);
    return true;
}

} // namespace

void guarantee_monitor::record_violation(measurements& result, std::string text)
{
    if (result.violations++ == 0)
        result.first_violation = std::move(text);
}

void guarantee_monitor::check(policy::cluster_view const& cluster,
                              core::time_point now, measurements& result)
{
    // The guarantees may not fit on the fleet while workers are unavailable.
    bool const are_all_workers_available =
        std::all_of(cluster.workers.begin(), cluster.workers.end(),
                    [](auto const& worker) { return worker.accepts_work; });
    if (!are_all_workers_available) {
        waiting_since_.clear();
        return;
    }
    absl::flat_hash_map<std::string_view, std::vector<unused_cell>> cells;
    auto const cells_of =
        [&](policy::job_view const& job) -> std::vector<unused_cell>* {
        if (accelerators_of(job) == 0)
            return nullptr;
        auto const rule = cluster.rules.customers.find(job.customer);
        if (rule == cluster.rules.customers.end() ||
            rule->second.guarantees.empty())
            return nullptr;
        auto const [found, is_new] = cells.try_emplace(job.customer);
        if (is_new) {
            for (auto const& shape : rule->second.guarantees)
                found->second.insert(
                    found->second.end(), static_cast<std::size_t>(shape.cells),
                    {shape.accelerators_per_cell, shape.within});
        }
        return &found->second;
    };
    for (auto const& running : cluster.running) {
        auto* const unused_cells = cells_of(running.job);
        // A job that fits no single cell may use several. Their number is not
        // known, so no cell counts as unused.
        if (unused_cells != nullptr && !occupy_cell(*unused_cells, running.job))
            unused_cells->clear();
    }
    for (auto const& job : cluster.pending) {
        auto* const unused_cells = cells_of(job);
        if (unused_cells == nullptr || !occupy_cell(*unused_cells, job)) {
            waiting_since_.erase(job.job_id);
            continue;
        }
        auto const since = waiting_since_.try_emplace(job.job_id, now).first;
        if (now - since->second <= reclaim_limit ||
            !reported_.try_emplace(job.job_id, now).second)
            continue;
        record_violation(
            result, fmt::format("{} of {} ({} accelerators) waits for its "
                                "guarantee at {} s",
                                job.job_id, job.customer, accelerators_of(job),
                                now.time_since_epoch().count() / 1000));
    }
}

void guarantee_monitor::record_start(std::string const& job_id,
                                     core::time_point now, measurements& result)
{
    auto const found = waiting_since_.find(job_id);
    if (found == waiting_since_.end())
        return;
    result.reclaim_seconds.push_back(
        std::chrono::duration<double>(now - found->second).count());
    waiting_since_.erase(found);
}

} // namespace sequoiaroute::benchmarks
