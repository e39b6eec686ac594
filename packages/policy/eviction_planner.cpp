#include "policy/eviction_planner.hpp"

#include <algorithm>

#include <absl/container/flat_hash_map.h>

namespace sequoiaroute::policy {

namespace {

/// Weight of a core in the lost work, so that jobs without accelerators count
/// by their processor time.
constexpr double accelerators_per_core = 1.0 / 16;

bool has_deficit(resources const& available)
{
    return available.cores < 0 || available.memory_megabytes < 0 ||
           available.accelerators < 0;
}

bool reduces_deficit(resources const& amount, resources const& available)
{
    return (available.cores < 0 && amount.cores > 0) ||
           (available.memory_megabytes < 0 && amount.memory_megabytes > 0) ||
           (available.accelerators < 0 && amount.accelerators > 0);
}

} // namespace

eviction_planner::eviction_planner(cluster_view const& cluster,
                                   core::time_point now)
    : cluster_(cluster), now_(now), is_stopping_(cluster.running.size()),
      releasing_(cluster.workers.size())
{
    for (std::size_t index = 0; index < cluster.running.size(); ++index) {
        auto const& running = cluster.running[index];
        is_stopping_[index] = running.is_stopping;
        if (running.is_borrowing && !running.is_stopping)
            borrowing_jobs_.push_back(index);
        if (!running.is_stopping)
            continue;
        for (auto const worker : running.members)
            releasing_[worker] = releasing_[worker] + running.job.member;
    }
}

bool eviction_planner::is_candidate(std::size_t index) const
{
    // An unrepeatable job that is stopped ends without a result.
    return !is_stopping_[index] && !cluster_.running[index].job.is_unrepeatable;
}

double eviction_planner::lost_work(running_job_view const& running) const
{
    auto const seconds =
        std::chrono::duration<double>(now_ - running.started_at).count();
    auto const& member = running.job.member;
    return std::max<double>(member.accelerators,
                            member.cores * accelerators_per_core) *
           running.job.members * seconds;
}

std::vector<double> eviction_planner::eviction_cost_by_worker() const
{
    std::vector<double> cost(cluster_.workers.size());
    for (auto const index : borrowing_jobs_) {
        if (is_stopping_[index])
            continue;
        auto const& running = cluster_.running[index];
        // A gang stops as a whole, so each of its workers carries the full
        // cost.
        std::size_t previous_worker = cost.size();
        for (auto const worker : running.members) {
            if (worker != previous_worker)
                cost[worker] += lost_work(running);
            previous_worker = worker;
        }
    }
    return cost;
}

void eviction_planner::add_stopping(std::vector<resources>& available) const
{
    for (std::size_t index = 0; index < available.size(); ++index)
        available[index] = available[index] + releasing_[index];
}

void eviction_planner::add_evictable(std::vector<resources>& available,
                                     filter const& is_allowed) const
{
    add_stopping(available);
    for (auto const index : borrowing_jobs_) {
        auto const& running = cluster_.running[index];
        if (!is_candidate(index) || !is_allowed(running))
            continue;
        for (auto const worker : running.members)
            available[worker] = available[worker] + running.job.member;
    }
}

std::optional<eviction_planner::victims> eviction_planner::plan(
    job_view const& job, std::span<std::size_t const> members,
    std::span<resources const> free, filter const& is_allowed) const
{
    absl::flat_hash_map<std::size_t, resources> available_by_worker;
    for (auto const worker : members) {
        auto const found =
            available_by_worker
                .try_emplace(worker, free[worker] + releasing_[worker])
                .first;
        found->second = found->second - job.member;
    }
    std::vector<std::pair<double, std::size_t>> candidates;
    for (auto const index : borrowing_jobs_) {
        auto const& running = cluster_.running[index];
        bool const uses_worker_in_deficit =
            std::any_of(running.members.begin(), running.members.end(),
                        [&](std::size_t worker) {
                            auto const found = available_by_worker.find(worker);
                            return found != available_by_worker.end() &&
                                   has_deficit(found->second);
                        });
        if (uses_worker_in_deficit && is_candidate(index) &&
            is_allowed(running))
            candidates.emplace_back(lost_work(running), index);
    }
    std::sort(candidates.begin(), candidates.end(),
              [&](auto const& a, auto const& b) {
                  if (a.first != b.first)
                      return a.first < b.first;
                  return cluster_.running[a.second].started_at >
                         cluster_.running[b.second].started_at;
              });
    victims chosen;
    auto const adjust = [&](std::size_t index, int sign) {
        auto const& running = cluster_.running[index];
        for (auto const worker : running.members) {
            if (auto const found = available_by_worker.find(worker);
                found != available_by_worker.end())
                found->second = found->second + running.job.member * sign;
        }
    };
    auto const has_enough = [&] {
        return std::none_of(
            available_by_worker.begin(), available_by_worker.end(),
            [](auto const& item) { return has_deficit(item.second); });
    };
    for (auto const& [cost, index] : candidates) {
        auto const& running = cluster_.running[index];
        bool const is_useful = std::any_of(
            running.members.begin(), running.members.end(),
            [&](std::size_t worker) {
                auto const found = available_by_worker.find(worker);
                return found != available_by_worker.end() &&
                       reduces_deficit(running.job.member, found->second);
            });
        if (!is_useful)
            continue;
        chosen.push_back(index);
        adjust(index, 1);
    }
    if (!has_enough())
        return std::nullopt;
    // Drops, most costly first, the jobs that are no longer needed.
    for (auto position = chosen.size(); position-- > 0;) {
        auto const index = chosen[position];
        adjust(index, -1);
        if (has_enough())
            chosen.erase(chosen.begin() +
                         static_cast<std::ptrdiff_t>(position));
        else
            adjust(index, 1);
    }
    return chosen;
}

void eviction_planner::mark_stopping(victims const& chosen)
{
    for (auto const index : chosen) {
        auto const& running = cluster_.running[index];
        is_stopping_[index] = true;
        for (auto const worker : running.members)
            releasing_[worker] = releasing_[worker] + running.job.member;
    }
}

} // namespace sequoiaroute::policy
