#include "policy/best_fit_search.hpp"

#include "policy/gang_fit.hpp"

#include <algorithm>

namespace sequoiaroute::policy {

best_fit_search::best_fit_search(worker_topology const& topology)
    : topology_(topology), fitting_members_(topology.workers().size())
{
}

void best_fit_search::count_fitting_members(job_view const& job,
                                            std::span<resources const> free)
{
    auto const workers = topology_.workers();
    auto const& need = job.member;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        auto const& available = free[index];
        bool const is_sufficient =
            workers[index].accepts_work &&
            available.accelerators >= need.accelerators &&
            available.cores >= need.cores &&
            available.memory_megabytes >= need.memory_megabytes;
        fitting_members_[index] =
            is_sufficient
                ? std::min(job.members, members_that_fit(available, need))
                : 0;
    }
}

bool best_fit_search::exclude_avoided(job_view const& job)
{
    auto const workers = topology_.workers();
    bool has_changed = false;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        auto const& avoided = job.avoided_workers;
        if (fitting_members_[index] > 0 &&
            std::find(avoided.begin(), avoided.end(),
                      workers[index].worker_id) != avoided.end()) {
            fitting_members_[index] = 0;
            has_changed = true;
        }
    }
    return has_changed;
}

best_fit_search::members
best_fit_search::assign_members(job_view const& job,
                                worker_topology::group const& group) const
{
    std::vector<std::pair<int, std::size_t>> candidates;
    for (auto const index : group) {
        if (fitting_members_[index] > 0)
            candidates.emplace_back(fitting_members_[index], index);
    }
    std::sort(candidates.begin(), candidates.end());
    members chosen;
    auto remaining = job.members;
    while (remaining > 0 && !candidates.empty()) {
        // The smallest worker that fits all remaining members, otherwise the
        // largest one.
        auto found = std::lower_bound(candidates.begin(), candidates.end(),
                                      std::pair(remaining, std::size_t{0}));
        if (found == candidates.end())
            --found;
        auto const member_count = std::min(remaining, found->first);
        chosen.insert(chosen.end(), static_cast<std::size_t>(member_count),
                      found->second);
        remaining -= member_count;
        candidates.erase(found);
    }
    return chosen;
}

std::optional<best_fit_search::members>
best_fit_search::search_level(job_view const& job, adjacency level,
                              std::span<resources const> free)
{
    worker_topology::group const* best = nullptr;
    std::pair<int, int> best_unallocated;
    for (auto const& group : topology_.groups(level)) {
        int fitting = 0;
        std::pair<int, int> unallocated{0, 0};
        for (auto const index : group) {
            fitting += fitting_members_[index];
            unallocated.first += std::max(0, free[index].accelerators);
            unallocated.second += std::max(0, free[index].cores);
        }
        if (fitting >= job.members &&
            (best == nullptr || unallocated < best_unallocated)) {
            best = &group;
            best_unallocated = unallocated;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return assign_members(job, *best);
}

std::optional<best_fit_search::members>
best_fit_search::search_without_accelerators(job_view const& job,
                                             std::span<resources const> free)
{
    // Prefers workers with few free accelerators, so that the processors that
    // free accelerators need are not used up.
    for (auto const& group : topology_.groups(job.within)) {
        std::vector<std::tuple<int, int, std::size_t>> order;
        int fitting = 0;
        for (auto const index : group) {
            if (fitting_members_[index] == 0)
                continue;
            fitting += fitting_members_[index];
            order.emplace_back(std::max(0, free[index].accelerators),
                               free[index].cores, index);
        }
        if (fitting < job.members)
            continue;
        std::sort(order.begin(), order.end());
        members chosen;
        for (auto const& [accelerators, cores, index] : order) {
            auto const member_count =
                std::min(fitting_members_[index],
                         job.members - static_cast<int>(chosen.size()));
            chosen.insert(chosen.end(), static_cast<std::size_t>(member_count),
                          index);
        }
        return chosen;
    }
    return std::nullopt;
}

std::optional<best_fit_search::members>
best_fit_search::search(job_view const& job, std::span<resources const> free)
{
    if (job.member.accelerators == 0)
        return search_without_accelerators(job, free);
    for (auto const level : {adjacency::worker, adjacency::rack,
                             adjacency::data_centre, adjacency::any}) {
        if (auto members = search_level(job, level, free))
            return members;
        if (level == job.within)
            return std::nullopt;
    }
    return std::nullopt;
}

std::optional<best_fit_search::members>
best_fit_search::fit(job_view const& job, std::span<resources const> free)
{
    count_fitting_members(job, free);
    if (!job.avoided_workers.empty() && exclude_avoided(job)) {
        if (auto members = search(job, free))
            return members;
        count_fitting_members(job, free);
    }
    return search(job, free);
}

bool best_fit_search::fits_idle_fleet(job_view const& job)
{
    for (auto const& group : topology_.groups(job.within)) {
        long fitting = 0;
        for (auto const index : group)
            fitting +=
                members_that_fit(topology_.workers()[index].total, job.member);
        if (fitting >= job.members)
            return true;
    }
    return false;
}

} // namespace sequoiaroute::policy
