#include "placement/placement_round.hpp"

#include "placement/group_fit.hpp"
#include "placement/victim_search.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <tuple>

namespace sequoiaroute::placement {

namespace {

/// How many blocked groups may keep room in one round; more would leave the
/// workers idle.
constexpr std::size_t kept_groups = 3;
/// Workers that take this many tenths longer than others count as slow.
constexpr std::int32_t slow_from = 2;

std::vector<std::string> agents_of(std::span<worker const> workers,
                                   std::span<std::size_t const> indexes)
{
    std::vector<std::string> agents;
    agents.reserve(indexes.size());
    for (auto const index : indexes)
        agents.push_back(workers[index].agent);
    return agents;
}

class round
{
public:
    round(std::vector<worker> workers, std::span<running_group const> running)
        : workers_(std::move(workers))
    {
        std::map<std::string_view, std::size_t> indexes;
        for (std::size_t index = 0; index < workers_.size(); ++index)
            indexes.emplace(workers_[index].agent, index);
        for (auto const& group : running) {
            victim added;
            added.priority = group.priority;
            added.loss_core_seconds = group.loss_core_seconds;
            for (auto const& member : group.members) {
                if (auto const found = indexes.find(member.agent);
                    found != indexes.end())
                    added.members.push_back({found->second, member.task});
            }
            running_.push_back(std::move(added));
        }
    }

    void serve(std::size_t index, waiting_group const& group)
    {
        auto const fit = fit_beside_reserve(group);
        if (!fit.workers.empty()) {
            take(group, fit.workers);
            result_.placed.push_back({index, agents_of(workers_, fit.workers)});
        }
        if (fit.workers.size() == group.count)
            return;
        auto rest = group;
        rest.count -= fit.workers.size();
        if (keep_room_soon_free(rest))
            return;
        if (rest.preemption_budget > 0 && preempt_for(rest))
            return;
        if (rest.can_reserve)
            keep_best_room(rest);
    }

    round_result take_result() { return std::move(result_); }

private:
    /// @return where the tasks fit, without those that would use the reserve
    group_fit fit_beside_reserve(waiting_group const& group) const
    {
        if (group.accelerator_headroom == 0 || group.task.accelerators == 0)
            return best_fit(workers_, group, &worker::free);
        std::int64_t free = -group.accelerator_headroom;
        for (auto const& worker : workers_) {
            if (worker.is_accepting && worker.service == group.service)
                free += std::max<std::int64_t>(worker.free.accelerators, 0);
        }
        auto const most = static_cast<std::size_t>(
            std::max<std::int64_t>(free, 0) / group.task.accelerators);
        if (most >= group.count)
            return best_fit(workers_, group, &worker::free);
        auto fewer = group;
        fewer.count = most;
        if (group.is_gang || most == 0)
            return {};
        return best_fit(workers_, fewer, &worker::free);
    }

    void take(waiting_group const& group, std::span<std::size_t const> indexes)
    {
        for (auto const index : indexes) {
            workers_[index].free -= group.task;
            workers_[index].free_after_stops -= group.task;
        }
    }

    /// Keeps room that is about to become free.
    /// @param group the group; the tasks that have room are taken off its count
    /// @return whether all of its tasks have room
    bool keep_room_soon_free(waiting_group& group)
    {
        if (group.priority > 0 && !group.can_reserve)
            return false;
        auto const fit = best_fit(workers_, group, &worker::free_after_stops);
        take(group, fit.workers);
        group.count -= fit.workers.size();
        return group.count == 0;
    }

    /// Stops running groups for a gang as a whole, or for as many tasks of
    /// another group as possible.
    /// @return whether all tasks will have room
    bool preempt_for(waiting_group& group)
    {
        if (group.is_gang)
            return preempt(group);
        auto single = group;
        single.count = 1;
        while (group.count > 0) {
            single.count = 1;
            if (!preempt(single))
                return false;
            --group.count;
        }
        return true;
    }

    /// Stops running groups so that the group fits; it is placed in a later
    /// round, when their ends are known. The wait for the room uses up what an
    /// urgent group can spare, so slow workers come last.
    bool preempt(waiting_group& group)
    {
        auto const scopes = scopes_of(workers_, group);
        auto best = cheapest(group, without_slow(scopes));
        if (!best || best->loss_core_seconds > group.preemption_budget)
            best = cheapest(group, scopes);
        if (!best || best->loss_core_seconds > group.preemption_budget)
            return false;
        for (auto const index : best->victims) {
            auto& stopped = running_[index];
            stopped.is_stopped = true;
            result_.stopped.push_back(index);
            for (auto const& member : stopped.members)
                workers_[member.worker].free_after_stops += member.task;
        }
        group.preemption_budget -= best->loss_core_seconds;
        return keep_room_soon_free(group);
    }

    std::vector<worker_scope>
    without_slow(std::vector<worker_scope> scopes) const
    {
        for (auto& scope : scopes) {
            std::erase_if(scope, [&](std::size_t index) {
                return workers_[index].slowness >= slow_from;
            });
        }
        return scopes;
    }

    std::optional<victim_set>
    cheapest(waiting_group const& group,
             std::span<worker_scope const> scopes) const
    {
        std::optional<victim_set> best;
        for (auto const& scope : scopes) {
            auto found = find_victims(workers_, scope, group, running_);
            if (found &&
                (!best || found->loss_core_seconds < best->loss_core_seconds))
                best = std::move(found);
        }
        return best;
    }

    /// Keeps the room that will fit the group first: that of the candidates
    /// with the most free accelerators.
    void keep_best_room(waiting_group const& group)
    {
        if (kept_ == kept_groups)
            return;
        std::vector<std::size_t> best;
        auto best_free = std::numeric_limits<std::int64_t>::min();
        for (auto& scope : scopes_of(workers_, group)) {
            std::sort(
                scope.begin(), scope.end(),
                [&](std::size_t left, std::size_t right) {
                    return std::tuple(
                               -workers_[left].free_after_stops.accelerators,
                               workers_[left].agent) <
                           std::tuple(
                               -workers_[right].free_after_stops.accelerators,
                               workers_[right].agent);
                });
            std::vector<std::size_t> chosen;
            std::int64_t free = 0;
            for (auto const index : scope) {
                auto const& candidate = workers_[index];
                auto const taken =
                    std::min(group.count - chosen.size(),
                             slots_on(candidate, candidate.capacity, group));
                chosen.insert(chosen.end(), taken, index);
                free += candidate.free_after_stops.accelerators;
                if (chosen.size() == group.count)
                    break;
            }
            if (chosen.size() == group.count && free > best_free) {
                best_free = free;
                best = std::move(chosen);
            }
        }
        if (best.empty())
            return;
        ++kept_;
        take(group, best);
    }

    std::vector<worker> workers_;
    std::vector<victim> running_;
    std::size_t kept_ = 0;
    round_result result_;
};

} // namespace

std::vector<std::string> fit_group(std::span<worker const> workers,
                                   waiting_group const& group,
                                   jobs::resources worker::*room)
{
    return agents_of(workers, best_fit(workers, group, room).workers);
}

round_result run_round(std::vector<worker> workers,
                       std::span<waiting_group const> waiting,
                       std::span<running_group const> running)
{
    round current(std::move(workers), running);
    for (std::size_t index = 0; index < waiting.size(); ++index)
        current.serve(index, waiting[index]);
    return current.take_result();
}

} // namespace sequoiaroute::placement
