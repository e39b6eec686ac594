#include "placement/placement_round.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>
#include <tuple>

namespace sequoiaroute::placement {

namespace {

using jobs::resources;
using room_member = resources worker::*;

/// How many blocked groups may keep room in one round; more would leave the
/// workers idle.
constexpr std::size_t kept_groups = 3;

bool has_label(worker const& worker, std::string const& label)
{
    return label.empty() ||
           std::find(worker.labels.begin(), worker.labels.end(), label) !=
               worker.labels.end();
}

bool is_candidate(worker const& worker, waiting_group const& group)
{
    return worker.is_accepting && worker.service == group.service &&
           has_label(worker, group.required_label) &&
           group.task.fits_into(worker.capacity) &&
           !group.avoided.contains(worker.agent);
}

/// @return how many tasks of the group fit into the room
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

std::size_t allowed_on(worker const& worker, waiting_group const& group,
                       room_member room)
{
    auto slots = slots_in(worker.*room, group);
    if (group.max_per_worker == 0)
        return slots;
    auto const running = group.running_on.find(worker.agent);
    auto const taken = running == group.running_on.end() ? 0 : running->second;
    auto const left =
        group.max_per_worker > taken ? group.max_per_worker - taken : 0;
    return std::min(slots, left);
}

/// Room that stays unused on a worker; small leftovers keep whole workers free
/// for large tasks.
auto leftover(worker const& worker, waiting_group const& group,
              room_member room)
{
    auto const rest = worker.*room - group.task;
    bool const is_urgent = group.priority == 0;
    return std::tuple(worker.penalty, is_urgent ? worker.slowness : 0,
                      rest.accelerators, is_urgent ? 0 : -worker.slowness,
                      rest.millicores, worker.agent);
}

struct fit
{
    std::vector<std::string> agents;
    std::int32_t slowest = 0; ///< of the workers, for urgent groups
    std::int64_t leftover_accelerators = 0;
};

/// Fills the tightest workers first.
fit fit_into(std::vector<worker const*> candidates, waiting_group const& group,
             room_member room)
{
    std::sort(candidates.begin(), candidates.end(),
              [&](auto const* left, auto const* right) {
                  return leftover(*left, group, room) <
                         leftover(*right, group, room);
              });
    fit result;
    for (auto const* candidate : candidates) {
        auto const slots = allowed_on(*candidate, group, room);
        auto const wanted = group.count - result.agents.size();
        auto const taken = std::min(slots, wanted);
        if (taken == 0)
            continue;
        result.agents.insert(result.agents.end(), taken, candidate->agent);
        if (group.priority == 0)
            result.slowest = std::max(result.slowest, candidate->slowness);
        result.leftover_accelerators +=
            (candidate->*room).accelerators -
            static_cast<std::int64_t>(taken) * group.task.accelerators;
        if (result.agents.size() == group.count)
            break;
    }
    if (group.is_gang && result.agents.size() < group.count)
        result.agents.clear();
    return result;
}

using scope = std::vector<worker const*>;

/// Candidates that may be used together: those of the rack with the data, of
/// one rack each for rack-local groups, or all.
std::vector<scope> scopes_of(std::span<worker const> workers,
                             waiting_group const& group)
{
    scope all;
    std::map<std::string, scope> racks;
    for (auto const& worker : workers) {
        if (!is_candidate(worker, group))
            continue;
        all.push_back(&worker);
        racks[worker.rack].push_back(&worker);
    }
    if (!group.is_any_rack_allowed && !group.data_rack.empty()) {
        if (auto const found = racks.find(group.data_rack);
            found != racks.end())
            return {found->second};
    }
    if (group.is_any_rack_allowed || !group.is_rack_local)
        return {all};
    std::vector<scope> fitting;
    for (auto const& [name, members] : racks) {
        auto const fits = fit_into(members, group, &worker::capacity);
        if (!fits.agents.empty())
            fitting.push_back(members);
    }
    // No rack could hold it even when empty, so several have to serve.
    if (fitting.empty())
        return {all};
    return fitting;
}

worker* find_worker(std::vector<worker>& workers, std::string const& agent)
{
    auto const found =
        std::find_if(workers.begin(), workers.end(),
                     [&](auto const& entry) { return entry.agent == agent; });
    return found == workers.end() ? nullptr : &*found;
}

class round
{
public:
    round(std::vector<worker> workers, std::span<running_group const> running)
        : workers_(std::move(workers)), running_(running),
          is_stopped_(running.size(), false)
    {
    }

    void serve(std::size_t index, waiting_group const& group)
    {
        auto const agents = fit_group(workers_, group, &worker::free);
        if (!agents.empty()) {
            take(group, agents);
            result_.placed.push_back({index, agents});
        }
        if (agents.size() == group.count)
            return;
        auto rest = group;
        rest.count -= agents.size();
        if (keep_room_soon_free(rest))
            return;
        if (rest.preemption_budget > 0 && preempt_for(rest))
            return;
        if (rest.keeps_room)
            keep_best_room(rest);
    }

    round_result take_result() { return std::move(result_); }

private:
    void take(waiting_group const& group, std::span<std::string const> agents)
    {
        for (auto const& agent : agents) {
            auto* const target = find_worker(workers_, agent);
            target->free -= group.task;
            target->free_soon -= group.task;
        }
    }

    /// Keeps room that is about to become free.
    /// @param group the group; the tasks that have room are taken off its count
    /// @return whether all of its tasks have room
    bool keep_room_soon_free(waiting_group& group)
    {
        if (group.priority > 0 && !group.keeps_room)
            return false;
        auto const agents = fit_group(workers_, group, &worker::free_soon);
        take(group, agents);
        group.count -= agents.size();
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
    /// round, when their ends are known.
    bool preempt(waiting_group& group)
    {
        auto best_loss = std::numeric_limits<double>::max();
        std::vector<std::size_t> best;
        for (auto const& scope : scopes_of(workers_, group)) {
            auto const victims = cheapest_victims(scope, group);
            if (!victims)
                continue;
            auto const loss = loss_of(*victims);
            if (loss < best_loss) {
                best_loss = loss;
                best = *victims;
            }
        }
        if (best.empty() || best_loss > group.preemption_budget)
            return false;
        for (auto const victim : best) {
            is_stopped_[victim] = true;
            result_.stopped.push_back(victim);
            release(workers_, victim);
        }
        group.preemption_budget -= best_loss;
        return keep_room_soon_free(group);
    }

    double loss_of(std::span<std::size_t const> victims) const
    {
        return std::accumulate(victims.begin(), victims.end(), 0.0,
                               [&](double sum, std::size_t victim) {
                                   return sum +
                                          running_[victim].loss_core_seconds;
                               });
    }

    void release(std::vector<worker>& workers, std::size_t victim) const
    {
        for (auto const& member : running_[victim].members) {
            if (auto* const target = find_worker(workers, member.agent))
                target->free_soon += member.task;
        }
    }

    bool touches(std::size_t victim, scope const& scope) const
    {
        auto const& members = running_[victim].members;
        return std::any_of(
            members.begin(), members.end(), [&](auto const& member) {
                return std::any_of(scope.begin(), scope.end(),
                                   [&](auto const* candidate) {
                                       return candidate->agent == member.agent;
                                   });
            });
    }

    bool fits_after(std::span<std::size_t const> victims,
                    std::vector<std::string> const& scope,
                    waiting_group const& group) const
    {
        auto workers = workers_;
        for (auto const victim : victims)
            release(workers, victim);
        std::vector<worker const*> candidates;
        for (auto const& candidate : workers) {
            if (std::find(scope.begin(), scope.end(), candidate.agent) !=
                scope.end())
                candidates.push_back(&candidate);
        }
        return fit_into(candidates, group, &worker::free_soon).agents.size() ==
               group.count;
    }

    std::optional<std::vector<std::size_t>>
    cheapest_victims(scope const& scope, waiting_group const& group) const
    {
        std::vector<std::size_t> order;
        for (std::size_t index = 0; index < running_.size(); ++index) {
            if (!is_stopped_[index] &&
                running_[index].priority > group.priority &&
                touches(index, scope))
                order.push_back(index);
        }
        std::sort(order.begin(), order.end(),
                  [&](std::size_t left, std::size_t right) {
                      return running_[left].loss_core_seconds <
                             running_[right].loss_core_seconds;
                  });
        std::vector<std::string> agents;
        for (auto const* candidate : scope)
            agents.push_back(candidate->agent);
        std::vector<std::size_t> victims;
        bool is_enough = false;
        for (auto const index : order) {
            victims.push_back(index);
            is_enough = fits_after(victims, agents, group);
            if (is_enough)
                break;
        }
        if (!is_enough)
            return std::nullopt;
        prune(victims, agents, group);
        return victims;
    }

    /// Spares the victims that are not needed, the most expensive first.
    void prune(std::vector<std::size_t>& victims,
               std::vector<std::string> const& agents,
               waiting_group const& group) const
    {
        for (std::size_t next = victims.size(); next-- > 0;) {
            auto fewer = victims;
            fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(next));
            if (fits_after(fewer, agents, group))
                victims = std::move(fewer);
        }
    }

    /// Keeps the room that will fit the group first: that of the candidates
    /// with the most free accelerators.
    void keep_best_room(waiting_group const& group)
    {
        if (kept_ == kept_groups)
            return;
        std::optional<fit> best;
        std::int64_t best_free = std::numeric_limits<std::int64_t>::min();
        for (auto const& scope : scopes_of(workers_, group)) {
            auto candidates = scope;
            std::sort(candidates.begin(), candidates.end(),
                      [](auto const* left, auto const* right) {
                          return std::tuple(-left->free_soon.accelerators,
                                            left->agent) <
                                 std::tuple(-right->free_soon.accelerators,
                                            right->agent);
                      });
            fit chosen;
            std::int64_t free = 0;
            for (auto const* candidate : candidates) {
                auto const wanted = group.count - chosen.agents.size();
                auto const taken =
                    std::min(wanted, slots_in(candidate->capacity, group));
                chosen.agents.insert(chosen.agents.end(), taken,
                                     candidate->agent);
                free += candidate->free_soon.accelerators;
                if (chosen.agents.size() == group.count)
                    break;
            }
            if (chosen.agents.size() == group.count && free > best_free) {
                best_free = free;
                best = std::move(chosen);
            }
        }
        if (!best)
            return;
        ++kept_;
        take(group, best->agents);
    }

    std::vector<worker> workers_;
    std::span<running_group const> running_;
    std::vector<bool> is_stopped_;
    std::size_t kept_ = 0;
    round_result result_;
};

} // namespace

std::vector<std::string> fit_group(std::span<worker const> workers,
                                   waiting_group const& group, room_member room)
{
    fit best;
    for (auto const& scope : scopes_of(workers, group)) {
        auto candidate = fit_into(scope, group, room);
        if (candidate.agents.empty())
            continue;
        bool const is_better =
            std::tuple(-static_cast<std::int64_t>(candidate.agents.size()),
                       candidate.slowest, candidate.leftover_accelerators) <
            std::tuple(-static_cast<std::int64_t>(best.agents.size()),
                       best.slowest, best.leftover_accelerators);
        if (best.agents.empty() || is_better)
            best = std::move(candidate);
    }
    return best.agents;
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
