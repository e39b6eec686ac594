#include "policy/gang_reservation.hpp"

#include "policy/gang_fit.hpp"

#include <algorithm>

namespace sequoiaroute::policy {

namespace {

struct completion
{
    core::time_point time;
    running_job_view const* running;
};

std::vector<completion>
completions_by_time(cluster_view const& cluster, core::time_point now,
                    gang_reservation::remaining_time const& remaining)
{
    std::vector<completion> completions;
    completions.reserve(cluster.running.size());
    for (auto const& running : cluster.running) {
        auto const time_left =
            running.is_stopping ? core::duration{} : remaining(running);
        completions.push_back({now + time_left, &running});
    }
    std::sort(completions.begin(), completions.end(),
              [](auto const& left, auto const& right) {
                  return left.time < right.time;
              });
    return completions;
}

} // namespace

std::optional<gang_reservation>
gang_reservation::create(job_view const& gang, cluster_view const& cluster,
                         worker_topology const& topology,
                         std::span<resources const> free, core::time_point now,
                         remaining_time const& remaining)
{
    std::vector<resources> available(free.begin(), free.end());
    std::vector<int> fitting_members(topology.groups(gang.within).size());
    auto const count_on = [&](std::size_t worker) {
        return cluster.workers[worker].accepts_work
                   ? std::min(gang.members,
                              members_that_fit(available[worker], gang.member))
                   : 0;
    };
    bool has_enough = false;
    auto const add_fitting_members = [&](std::size_t worker, int change) {
        auto& count = fitting_members[topology.group_of(worker, gang.within)];
        count += change;
        has_enough = has_enough || count >= gang.members;
    };
    for (std::size_t worker = 0; worker < available.size(); ++worker)
        add_fitting_members(worker, count_on(worker));
    auto start = now;
    for (auto const& [time, running] :
         completions_by_time(cluster, now, remaining)) {
        if (has_enough)
            break;
        start = time;
        for (auto const worker : running->members) {
            auto const before = count_on(worker);
            available[worker] = available[worker] + running->job.member;
            add_fitting_members(worker, count_on(worker) - before);
        }
    }
    if (!has_enough)
        return std::nullopt;
    best_fit_search fit(topology);
    auto const members = fit.fit(gang, available);
    if (!members)
        return std::nullopt;
    for (auto const worker : *members)
        available[worker] = available[worker] - gang.member;
    return gang_reservation(start, std::move(available));
}

void gang_reservation::limit(std::vector<resources>& free) const
{
    for (std::size_t index = 0; index < free.size(); ++index) {
        auto& available = free[index];
        auto const& spare = spare_[index];
        available = {
            std::min(available.cores, spare.cores),
            std::min(available.memory_megabytes, spare.memory_megabytes),
            std::min(available.accelerators, spare.accelerators)};
    }
}

void gang_reservation::charge(std::size_t worker, resources const& amount)
{
    spare_[worker] = spare_[worker] - amount;
}

} // namespace sequoiaroute::policy
