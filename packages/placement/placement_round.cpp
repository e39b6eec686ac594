#include "placement/placement_round.hpp"

#include "placement/group_fit.hpp"
#include "placement/reservation.hpp"
#include "placement/victim_search.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace sequoiaroute::placement {

namespace {

/// The number of groups that may reserve workers in one round without
/// preemption; more would leave too many workers idle.
constexpr std::size_t max_reservations = 3;
/// Workers whose run times are this many tenths longer, or more, count as slow
/// when victims are sought.
constexpr std::int32_t slow_worker_threshold = 2;

std::vector<std::string> agents_of(std::span<worker const> workers,
                                   std::span<std::size_t const> indexes)
{
    std::vector<std::string> agents;
    agents.reserve(indexes.size());
    for (auto const index : indexes)
        agents.push_back(workers[index].agent);
    return agents;
}

/// The state of one placement round; groups are placed one after another.
class placement_round
{
public:
    placement_round(std::vector<worker> workers,
                    std::span<running_group const> running)
        : workers_(std::move(workers))
    {
        std::map<std::string_view, std::size_t> indexes;
        for (std::size_t index = 0; index < workers_.size(); ++index)
            indexes.emplace(workers_[index].agent, index);
        for (auto const& group : running) {
            victim candidate;
            candidate.priority = group.priority;
            candidate.loss_core_seconds = group.loss_core_seconds;
            candidate.job = group.job;
            candidate.makes_job_late = group.makes_job_late;
            candidate.is_guaranteed = group.is_guaranteed;
            candidate.is_protected = group.is_protected;
            for (auto const& member : group.members) {
                if (auto const found = indexes.find(member.agent);
                    found != indexes.end())
                    candidate.members.push_back({found->second, member.task});
            }
            running_.push_back(std::move(candidate));
        }
    }

    /// Places as many tasks of a group as fit. For the rest, reserves resources
    /// and preempts running groups, if the group is entitled to it.
    /// @param index the index of the group among the waiting ones
    void place(std::size_t index, waiting_group const& group)
    {
        auto const fit = fit_outside_headroom(group);
        if (!fit.workers.empty()) {
            allocate(group, fit.workers);
            result_.placed.push_back({index, agents_of(workers_, fit.workers)});
        }
        if (fit.workers.size() == group.count)
            return;
        auto unplaced = group;
        unplaced.count -= fit.workers.size();
        auto& wait = result_.unplaced.emplace_back();
        wait.group = index;
        wait.tasks = unplaced.count;
        wait.reason = make_wait(group, unplaced);
    }

    round_result take_result() { return std::move(result_); }

private:
    /// Reserves resources for the tasks of a group that do not fit, and
    /// preempts running groups, if it is entitled to it.
    /// @param whole the group with all its tasks
    /// @param group the group with those that do not fit
    /// @return why it waits
    wait_reason make_wait(waiting_group const& whole, waiting_group& group)
    {
        bool const is_held_back = waits_for_headroom(whole);
        if (is_held_back && is_mostly_idle(group.service))
            return wait_reason::headroom;
        if (reserve_after_stops(group))
            return wait_reason::stops;
        if (group.preemption_budget > 0 && preempt(group))
            return wait_reason::stops;
        if (group.can_reserve)
            reserve(group);
        if (is_held_back)
            return wait_reason::headroom;
        return group.has_rack_preference() ? wait_reason::rack
                                           : wait_reason::room;
    }

    /// @return the best fit that leaves the accelerator headroom of the group
    ///         free; places fewer tasks if necessary
    group_fit fit_outside_headroom(waiting_group const& group) const
    {
        if (group.accelerator_headroom == 0 || group.task.accelerators == 0)
            return best_fit(workers_, group, &worker::free);
        std::int64_t free = -group.accelerator_headroom;
        for (auto const& worker : workers_) {
            if (worker.is_accepting && worker.service == group.service)
                free += std::max<std::int64_t>(worker.free.accelerators, 0);
        }
        auto const max_tasks = static_cast<std::size_t>(
            std::max<std::int64_t>(free, 0) / group.task.accelerators);
        if (max_tasks >= group.count)
            return best_fit(workers_, group, &worker::free);
        auto limited = group;
        limited.count = max_tasks;
        if (group.is_gang || max_tasks == 0)
            return {};
        return best_fit(workers_, limited, &worker::free);
    }

    /// @return whether the group fits, and only waits for the headroom to be
    ///         given up
    bool waits_for_headroom(waiting_group const& group) const
    {
        return group.accelerator_headroom > 0 &&
               best_fit(workers_, group, &worker::free).workers.size() ==
                   group.count;
    }

    /// Room that is held for a group that waits for the headroom adds to the
    /// headroom. That serves urgent work on busy workers, and keeps other work
    /// waiting beside idle ones.
    /// @return whether over half of the accelerators that a service may use are
    ///         free
    bool is_mostly_idle(std::string const& service) const
    {
        std::int64_t free = 0;
        std::int64_t capacity = 0;
        for (auto const& worker : workers_) {
            if (!worker.is_accepting || worker.service != service)
                continue;
            free += std::max<std::int64_t>(worker.free.accelerators, 0);
            capacity += worker.capacity.accelerators;
        }
        return free * 2 > capacity;
    }

    /// Deducts the tasks of a group from the workers, one for each index.
    void allocate(waiting_group const& group,
                  std::span<std::size_t const> indexes)
    {
        for (auto const index : indexes) {
            auto& used = workers_[index];
            used.free -= group.task;
            used.free_after_stops -= group.task;
            used.expected_ends.push_back({group.expected_run_time, group.task});
        }
    }

    /// Reserves resources that become free once runs have been stopped.
    /// @param group the group; its count is reduced by the tasks that now have
    ///              a reservation
    /// @return whether all of its tasks have a reservation
    bool reserve_after_stops(waiting_group& group)
    {
        if (group.priority > 0 && !group.can_reserve)
            return false;
        auto const fit = best_fit(workers_, group, &worker::free_after_stops);
        allocate(group, fit.workers);
        group.count -= fit.workers.size();
        return group.count == 0;
    }

    /// Preempts running groups: for a gang as a whole, otherwise for each task
    /// in turn until the budget or the victims run out.
    /// @return whether all tasks have a reservation
    bool preempt(waiting_group& group)
    {
        if (group.is_gang)
            return preempt_once(group);
        auto single = group;
        while (group.count > 0) {
            single.count = 1;
            if (!preempt_once(single))
                return false;
            --group.count;
        }
        return true;
    }

    /// Preempts the cheapest running groups so that a whole group fits, and
    /// reserves their resources. The group is placed in a later round, once the
    /// runs are known to have ended. Waiting for that leaves an urgent group
    /// little time for its objective, so slow workers are used only if the
    /// others do not suffice.
    /// @return whether the group has a reservation
    bool preempt_once(waiting_group& group)
    {
        auto const sets = candidate_sets(workers_, group);
        auto best = find_cheapest_victims(group, without_slow_workers(sets));
        if (!best || best->loss_core_seconds > group.preemption_budget)
            best = find_cheapest_victims(group, sets);
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
        return reserve_after_stops(group);
    }

    /// @return the sets without their slow workers
    std::vector<candidate_set>
    without_slow_workers(std::vector<candidate_set> sets) const
    {
        for (auto& set : sets) {
            std::erase_if(set, [&](std::size_t index) {
                return workers_[index].slowness >= slow_worker_threshold;
            });
        }
        return sets;
    }

    /// @return the victims of the candidate set where the loss is least;
    ///         nullopt if no set can be made to fit the group
    std::optional<victim_set>
    find_cheapest_victims(waiting_group const& group,
                          std::span<candidate_set const> sets) const
    {
        std::optional<victim_set> best;
        for (auto const& set : sets) {
            auto found = find_victims(workers_, set, group, running_);
            if (found && (!best || costs_less(*found, *best)))
                best = std::move(found);
        }
        return best;
    }

    /// Holds the room that the group waits for, from when it is expected to be
    /// free.
    void reserve(waiting_group const& group)
    {
        if (reservations_ == max_reservations)
            return;
        auto const found = find_reservation(workers_, group);
        if (!found)
            return;
        ++reservations_;
        for (auto const index : found->workers)
            workers_[index].holds.push_back({found->start, group.task});
    }

    std::vector<worker> workers_;
    std::vector<victim> running_;
    std::size_t reservations_ = 0;
    round_result result_;
};

} // namespace

std::string_view name(wait_reason reason)
{
    switch (reason) {
    case wait_reason::room:
        return "no worker has room";
    case wait_reason::rack:
        return "no worker of a suitable rack has room";
    case wait_reason::headroom:
        return "room is kept for urgent work";
    case wait_reason::stops:
        return "runs are being stopped for it";
    }
    return "";
}

std::vector<std::string> find_agents(std::span<worker const> workers,
                                     waiting_group const& group,
                                     jobs::resources worker::*available)
{
    return agents_of(workers, best_fit(workers, group, available).workers);
}

round_result run_round(std::vector<worker> workers,
                       std::span<waiting_group const> waiting,
                       std::span<running_group const> running)
{
    placement_round round(std::move(workers), running);
    for (std::size_t index = 0; index < waiting.size(); ++index)
        round.place(index, waiting[index]);
    return round.take_result();
}

} // namespace sequoiaroute::placement
