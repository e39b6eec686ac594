#include "placement/group_fit.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <string>
#include <tuple>

namespace sequoiaroute::placement {

namespace {

using jobs::resources;

bool has_label(worker const& worker, std::string const& label)
{
    return label.empty() ||
           std::find(worker.labels.begin(), worker.labels.end(), label) !=
               worker.labels.end();
}

std::size_t slots_in(resources const& room, waiting_group const& group)
{
    auto slots = static_cast<std::int64_t>(group.count);
    auto const limit = [&](std::int64_t free, std::int64_t needed) {
        if (needed > 0)
            slots = std::min(slots, std::max<std::int64_t>(free, 0) / needed);
    };
    limit(room.millicores, group.task.millicores);
    limit(room.memory_mb, group.task.memory_mb);
    limit(room.accelerators, group.task.accelerators);
    return static_cast<std::size_t>(slots);
}

/// Order of the workers of a scope; small leftovers keep whole workers free for
/// large tasks. Urgent tasks go to fast workers, patient ones rather to slow
/// ones.
auto preference(worker const& worker, waiting_group const& group,
                room_member room)
{
    auto const rest = worker.*room - group.task;
    bool const is_urgent = group.priority == 0;
    return std::tuple(worker.penalty, is_urgent ? worker.slowness : 0,
                      rest.accelerators, is_urgent ? 0 : -worker.slowness,
                      rest.millicores);
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

std::size_t slots_on(worker const& worker, resources const& room,
                     waiting_group const& group)
{
    auto const slots = slots_in(room, group);
    if (group.max_per_worker == 0)
        return slots;
    auto const running = group.running_tasks_by_agent.find(worker.agent);
    auto const taken =
        running == group.running_tasks_by_agent.end() ? 0 : running->second;
    auto const left =
        group.max_per_worker > taken ? group.max_per_worker - taken : 0;
    return std::min(slots, left);
}

std::vector<worker_scope> scopes_of(std::span<worker const> workers,
                                    waiting_group const& group)
{
    worker_scope all;
    std::map<std::string_view, worker_scope> racks;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (!is_candidate(workers[index], group))
            continue;
        all.push_back(index);
        racks[workers[index].rack].push_back(index);
    }
    if (!group.is_any_rack_allowed && !group.data_rack.empty()) {
        if (auto const found = racks.find(group.data_rack);
            found != racks.end())
            return {found->second};
    }
    if (group.is_any_rack_allowed || !group.is_rack_local)
        return {all};
    std::vector<worker_scope> fitting;
    for (auto const& [name, members] : racks) {
        auto const whole = fit_into(workers, members, group, &worker::capacity);
        if (!whole.workers.empty())
            fitting.push_back(members);
    }
    // No rack could hold it even when empty, so several have to serve.
    if (fitting.empty())
        return {all};
    return fitting;
}

group_fit fit_into(std::span<worker const> workers, worker_scope scope,
                   waiting_group const& group, room_member room)
{
    std::erase_if(scope, [&](std::size_t index) {
        return slots_on(workers[index], workers[index].*room, group) == 0;
    });
    std::sort(scope.begin(), scope.end(),
              [&](std::size_t left, std::size_t right) {
                  auto const& first = workers[left];
                  auto const& second = workers[right];
                  auto const before = preference(first, group, room);
                  auto const after = preference(second, group, room);
                  if (before != after)
                      return before < after;
                  return first.agent < second.agent;
              });
    group_fit result;
    for (auto const index : scope) {
        auto const& candidate = workers[index];
        auto const slots = slots_on(candidate, candidate.*room, group);
        auto const taken = std::min(slots, group.count - result.workers.size());
        result.workers.insert(result.workers.end(), taken, index);
        if (group.priority == 0)
            result.slowest = std::max(result.slowest, candidate.slowness);
        result.leftover_accelerators +=
            (candidate.*room).accelerators -
            static_cast<std::int64_t>(taken) * group.task.accelerators;
        if (result.workers.size() == group.count)
            break;
    }
    if (group.is_gang && result.workers.size() < group.count)
        result.workers.clear();
    return result;
}

group_fit best_fit(std::span<worker const> workers, waiting_group const& group,
                   room_member room)
{
    group_fit best;
    auto const rank = [](group_fit const& fit) {
        return std::tuple(-static_cast<std::int64_t>(fit.workers.size()),
                          fit.slowest, fit.leftover_accelerators);
    };
    for (auto& scope : scopes_of(workers, group)) {
        auto candidate = fit_into(workers, std::move(scope), group, room);
        if (candidate.workers.empty())
            continue;
        if (best.workers.empty() || rank(candidate) < rank(best))
            best = std::move(candidate);
    }
    return best;
}

} // namespace sequoiaroute::placement
