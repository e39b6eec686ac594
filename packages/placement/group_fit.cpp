#include "placement/group_fit.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <numeric>
#include <set>
#include <string>
#include <tuple>

namespace sequoiaroute::placement {

namespace {

using jobs::resources;

/// Workers whose run times are this many tenths shorter, or more, are left to
/// work that prefers fast ones as long as others are free.
constexpr std::int32_t fast_worker_threshold = 3;
/// Workers whose slowness differs by this or less are about as fast.
constexpr std::int32_t like_speed_range = 1;

bool has_label(worker const& worker, std::string const& label)
{
    return label.empty() ||
           std::find(worker.labels.begin(), worker.labels.end(), label) !=
               worker.labels.end();
}

/// @return as max_tasks_on(), without the limit per worker
std::size_t max_tasks_in(resources const& available, waiting_group const& group)
{
    auto tasks = static_cast<std::int64_t>(group.count);
    auto const limit_by = [&](std::int64_t free, std::int64_t needed) {
        if (needed > 0)
            tasks = std::min(tasks, std::max<std::int64_t>(free, 0) / needed);
    };
    limit_by(available.millicores, group.task.millicores);
    limit_by(available.memory_mb, group.task.memory_mb);
    limit_by(available.accelerators, group.task.accelerators);
    return static_cast<std::size_t>(tasks);
}

resources lesser_of(resources const& left, resources const& right)
{
    return {std::min(left.millicores, right.millicores),
            std::min(left.memory_mb, right.memory_mb),
            std::min(left.accelerators, right.accelerators)};
}

/// @return what is free on a worker at the time of a hold, beside the holds
///         from then on or before
resources free_at(worker const& worker, core::duration time)
{
    auto free = worker.free_after_stops;
    for (auto const& end : worker.expected_ends) {
        if (end.after <= time)
            free += end.room;
    }
    for (auto const& hold : worker.holds) {
        if (hold.after <= time)
            free -= hold.room;
    }
    return free;
}

/// Orders the workers of a candidate set. Healthy workers come first, then
/// those with few accelerators left over, which keeps whole workers free for
/// large tasks. Groups that prefer fast workers do so even to small leftovers;
/// others take clearly fast workers last, and slow ones among equal leftovers.
/// @return the sort key of a worker; the lowest one is filled first
auto preference_rank(worker const& worker, waiting_group const& group,
                     resources_member available)
{
    auto const leftover = available_to(worker, group, available) - group.task;
    bool const is_fast_first = group.prefers_fast_workers();
    bool const is_fast = worker.slowness <= -fast_worker_threshold;
    return std::tuple(
        worker.recent_failures, is_fast_first ? worker.slowness : int{is_fast},
        leftover.accelerators, is_fast_first ? 0 : -worker.slowness,
        leftover.millicores);
}

/// Divides a candidate set by speed. All members of a gang take as long as the
/// slowest, so fast workers in a mixed gang idle.
/// @return for each speed the workers that are about as fast; empty if all are
std::vector<candidate_set> sets_of_like_speed(std::span<worker const> workers,
                                              candidate_set const& candidates)
{
    std::set<std::int32_t> speeds;
    for (auto const index : candidates)
        speeds.insert(workers[index].slowness);
    std::vector<candidate_set> sets;
    if (speeds.empty() ||
        *speeds.rbegin() - *speeds.begin() <= like_speed_range)
        return sets;
    for (auto const slowness : speeds) {
        auto& set = sets.emplace_back();
        std::copy_if(candidates.begin(), candidates.end(),
                     std::back_inserter(set), [&](std::size_t index) {
                         auto const more = workers[index].slowness - slowness;
                         return more >= 0 && more <= like_speed_range;
                     });
    }
    return sets;
}

} // namespace

bool is_candidate(worker const& worker, waiting_group const& group)
{
    return worker.is_accepting && worker.service == group.service &&
           has_label(worker, group.required_label) &&
           group.task.fits_into(worker.capacity) &&
           !group.avoided.contains(worker.agent) &&
           !(group.is_filler && worker.throttles_fillers) &&
           (!group.allowed_executors ||
            group.allowed_executors->contains(worker.executor));
}

resources available_to(worker const& worker, waiting_group const& group,
                       resources_member available)
{
    auto usable = worker.*available;
    for (auto const& hold : worker.holds) {
        if (group.expected_run_time > hold.after / 5 * 4)
            usable = lesser_of(usable, free_at(worker, hold.after));
    }
    return usable;
}

std::size_t max_tasks_on(worker const& worker, resources const& available,
                         waiting_group const& group)
{
    auto const tasks = max_tasks_in(available, group);
    if (group.max_per_worker == 0)
        return tasks;
    auto const running = group.running_tasks_by_agent.find(worker.agent);
    auto const already_running =
        running == group.running_tasks_by_agent.end() ? 0 : running->second;
    auto const allowed = group.max_per_worker > already_running
                             ? group.max_per_worker - already_running
                             : 0;
    return std::min(tasks, allowed);
}

std::vector<candidate_set> candidate_sets(std::span<worker const> workers,
                                          waiting_group const& group)
{
    candidate_set all;
    std::map<std::string_view, candidate_set> racks;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (!is_candidate(workers[index], group))
            continue;
        all.push_back(index);
        racks[workers[index].rack].push_back(index);
    }
    if (!group.data_rack.empty()) {
        auto const found = racks.find(group.data_rack);
        if (found == racks.end())
            return {};
        return {found->second};
    }
    if (!group.is_rack_local)
        return {all};
    std::vector<candidate_set> sets;
    sets.reserve(racks.size());
    for (auto const& [name, members] : racks)
        sets.push_back(members);
    return sets;
}

group_fit fit_candidate_set(std::span<worker const> workers,
                            candidate_set candidates,
                            waiting_group const& group,
                            resources_member available)
{
    std::erase_if(candidates, [&](std::size_t index) {
        auto const usable = available_to(workers[index], group, available);
        return max_tasks_on(workers[index], usable, group) == 0;
    });
    std::sort(candidates.begin(), candidates.end(),
              [&](std::size_t left, std::size_t right) {
                  auto const& first = workers[left];
                  auto const& second = workers[right];
                  auto const before = preference_rank(first, group, available);
                  auto const after = preference_rank(second, group, available);
                  if (before != after)
                      return before < after;
                  return first.agent < second.agent;
              });
    group_fit result;
    for (auto const index : candidates) {
        auto const& candidate = workers[index];
        auto const usable = available_to(candidate, group, available);
        auto const max_tasks = max_tasks_on(candidate, usable, group);
        auto const tasks =
            std::min(max_tasks, group.count - result.workers.size());
        result.workers.insert(result.workers.end(), tasks, index);
        if (group.prefers_fast_workers())
            result.slowest = std::max(result.slowest, candidate.slowness);
        result.leftover_accelerators +=
            usable.accelerators -
            static_cast<std::int64_t>(tasks) * group.task.accelerators;
        if (result.workers.size() == group.count)
            break;
    }
    if (group.is_gang && result.workers.size() < group.count)
        result.workers.clear();
    return result;
}

namespace {

/// @return the sort key of a fit; the lowest one is the best
auto fit_rank(group_fit const& fit)
{
    return std::tuple(-static_cast<std::int64_t>(fit.workers.size()),
                      fit.slowest, fit.leftover_accelerators);
}

/// Fits a gang into workers of like speed: the fastest ones if it prefers
/// these, otherwise the slowest.
group_fit fit_like_speed(std::span<worker const> workers,
                         std::span<candidate_set const> sets,
                         waiting_group const& gang, resources_member available)
{
    group_fit best;
    for (auto const& candidates : sets) {
        auto alike = sets_of_like_speed(workers, candidates);
        if (!gang.prefers_fast_workers())
            std::reverse(alike.begin(), alike.end());
        for (auto& set : alike) {
            auto fit =
                fit_candidate_set(workers, std::move(set), gang, available);
            if (fit.workers.empty())
                continue;
            if (best.workers.empty() || fit_rank(fit) < fit_rank(best))
                best = std::move(fit);
            break;
        }
    }
    return best;
}

} // namespace

group_fit best_fit(std::span<worker const> workers, waiting_group const& group,
                   resources_member available)
{
    auto const sets = candidate_sets(workers, group);
    group_fit best;
    if (group.is_gang)
        best = fit_like_speed(workers, sets, group, available);
    if (!best.workers.empty())
        return best;
    for (auto const& candidates : sets) {
        auto fit = fit_candidate_set(workers, candidates, group, available);
        if (fit.workers.empty())
            continue;
        if (best.workers.empty() || fit_rank(fit) < fit_rank(best))
            best = std::move(fit);
    }
    return best;
}

} // namespace sequoiaroute::placement
