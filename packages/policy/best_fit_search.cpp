#include "policy/best_fit_search.hpp"

#include "policy/gang_fit.hpp"

#include <algorithm>

namespace sequoiaroute::policy {

best_fit_search::best_fit_search(worker_topology const& tree)
    : tree_(tree), counts_(tree.workers().size())
{
}

void best_fit_search::count(job_view const& job,
                            std::span<resources const> free)
{
    auto const workers = tree_.workers();
    auto const& need = job.member;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        auto const& room = free[index];
        bool const has_room = workers[index].accepts_work &&
                              room.accelerators >= need.accelerators &&
                              room.cores >= need.cores &&
                              room.memory_megabytes >= need.memory_megabytes;
        counts_[index] =
            has_room ? std::min(job.members, members_that_fit(room, need)) : 0;
    }
}

bool best_fit_search::exclude_avoided(job_view const& job)
{
    auto const workers = tree_.workers();
    bool has_changed = false;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        auto const& avoided = job.avoided_workers;
        if (counts_[index] > 0 &&
            std::find(avoided.begin(), avoided.end(),
                      workers[index].worker_id) != avoided.end()) {
            counts_[index] = 0;
            has_changed = true;
        }
    }
    return has_changed;
}

best_fit_search::members
best_fit_search::fill(job_view const& job,
                      worker_topology::group const& group) const
{
    std::vector<std::pair<int, std::size_t>> rooms;
    for (auto const index : group) {
        if (counts_[index] > 0)
            rooms.emplace_back(counts_[index], index);
    }
    std::sort(rooms.begin(), rooms.end());
    members chosen;
    auto remaining = job.members;
    while (remaining > 0 && !rooms.empty()) {
        // The smallest worker that takes all the rest, else the largest one.
        auto found = std::lower_bound(rooms.begin(), rooms.end(),
                                      std::pair(remaining, std::size_t{0}));
        if (found == rooms.end())
            --found;
        auto const part = std::min(remaining, found->first);
        chosen.insert(chosen.end(), static_cast<std::size_t>(part),
                      found->second);
        remaining -= part;
        rooms.erase(found);
    }
    return chosen;
}

std::optional<best_fit_search::members>
best_fit_search::fit_level(job_view const& job, adjacency level,
                           std::span<resources const> free)
{
    worker_topology::group const* best = nullptr;
    std::pair<int, int> best_left;
    for (auto const& group : tree_.groups(level)) {
        int fitting = 0;
        std::pair<int, int> left{0, 0};
        for (auto const index : group) {
            fitting += counts_[index];
            left.first += std::max(0, free[index].accelerators);
            left.second += std::max(0, free[index].cores);
        }
        if (fitting >= job.members && (best == nullptr || left < best_left)) {
            best = &group;
            best_left = left;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return fill(job, *best);
}

std::optional<best_fit_search::members>
best_fit_search::fit_processors(job_view const& job,
                                std::span<resources const> free)
{
    // Work without accelerators goes where few accelerators are free, so that
    // it does not use up the processors that accelerators need.
    for (auto const& group : tree_.groups(job.within)) {
        std::vector<std::tuple<int, int, std::size_t>> order;
        int fitting = 0;
        for (auto const index : group) {
            if (counts_[index] == 0)
                continue;
            fitting += counts_[index];
            order.emplace_back(std::max(0, free[index].accelerators),
                               free[index].cores, index);
        }
        if (fitting < job.members)
            continue;
        std::sort(order.begin(), order.end());
        members chosen;
        for (auto const& [accelerators, cores, index] : order) {
            auto const part = std::min(
                counts_[index], job.members - static_cast<int>(chosen.size()));
            chosen.insert(chosen.end(), static_cast<std::size_t>(part), index);
        }
        return chosen;
    }
    return std::nullopt;
}

std::optional<best_fit_search::members>
best_fit_search::fit_counted(job_view const& job,
                             std::span<resources const> free)
{
    if (job.member.accelerators == 0)
        return fit_processors(job, free);
    for (auto const level : {adjacency::worker, adjacency::rack,
                             adjacency::data_centre, adjacency::any}) {
        if (auto members = fit_level(job, level, free))
            return members;
        if (level == job.within)
            return std::nullopt;
    }
    return std::nullopt;
}

std::optional<best_fit_search::members>
best_fit_search::fit(job_view const& job, std::span<resources const> free)
{
    count(job, free);
    if (!job.avoided_workers.empty() && exclude_avoided(job)) {
        if (auto members = fit_counted(job, free))
            return members;
        count(job, free);
    }
    return fit_counted(job, free);
}

bool best_fit_search::fits_idle_fleet(job_view const& job)
{
    for (auto const& group : tree_.groups(job.within)) {
        long fitting = 0;
        for (auto const index : group)
            fitting +=
                members_that_fit(tree_.workers()[index].total, job.member);
        if (fitting >= job.members)
            return true;
    }
    return false;
}

} // namespace sequoiaroute::policy
