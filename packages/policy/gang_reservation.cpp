#include "policy/gang_reservation.hpp"

#include "policy/gang_fit.hpp"

#include <algorithm>

namespace sequoiaroute::policy {

namespace {

struct release
{
    core::time_point at;
    running_job_view const* running;
};

std::vector<release>
releases_in_order(cluster_view const& cluster, core::time_point now,
                  gang_reservation::remaining_time const& remaining)
{
    std::vector<release> releases;
    releases.reserve(cluster.running.size());
    for (auto const& running : cluster.running) {
        auto const left =
            running.is_stopping ? core::duration{} : remaining(running);
        releases.push_back({now + left, &running});
    }
    std::sort(
        releases.begin(), releases.end(),
        [](auto const& left, auto const& right) { return left.at < right.at; });
    return releases;
}

} // namespace

std::optional<gang_reservation>
gang_reservation::create(job_view const& gang, cluster_view const& cluster,
                         worker_topology const& tree,
                         std::span<resources const> free, core::time_point now,
                         remaining_time const& remaining)
{
    std::vector<resources> room(free.begin(), free.end());
    std::vector<int> fitting(tree.groups(gang.within).size());
    auto const count_on = [&](std::size_t worker) {
        return cluster.workers[worker].accepts_work
                   ? std::min(gang.members,
                              members_that_fit(room[worker], gang.member))
                   : 0;
    };
    bool is_enough = false;
    auto const change = [&](std::size_t worker, int difference) {
        auto& count = fitting[tree.group_of(worker, gang.within)];
        count += difference;
        is_enough = is_enough || count >= gang.members;
    };
    for (std::size_t worker = 0; worker < room.size(); ++worker)
        change(worker, count_on(worker));
    auto start = now;
    for (auto const& [at, running] :
         releases_in_order(cluster, now, remaining)) {
        if (is_enough)
            break;
        start = at;
        for (auto const worker : running->members) {
            auto const before = count_on(worker);
            room[worker] = room[worker] + running->job.member;
            change(worker, count_on(worker) - before);
        }
    }
    if (!is_enough)
        return std::nullopt;
    best_fit_search fit(tree);
    auto const members = fit.fit(gang, room);
    if (!members)
        return std::nullopt;
    for (auto const worker : *members)
        room[worker] = room[worker] - gang.member;
    return gang_reservation(start, std::move(room));
}

void gang_reservation::limit(std::vector<resources>& free) const
{
    for (std::size_t index = 0; index < free.size(); ++index) {
        auto& room = free[index];
        auto const& extra = extra_[index];
        room = {std::min(room.cores, extra.cores),
                std::min(room.memory_megabytes, extra.memory_megabytes),
                std::min(room.accelerators, extra.accelerators)};
    }
}

void gang_reservation::charge(std::size_t worker, resources const& amount)
{
    extra_[worker] = extra_[worker] - amount;
}

} // namespace sequoiaroute::policy
