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

    /// Places as many tasks of a group as fit on suitable racks. Those that
    /// should not wait for these are placed on any. For the rest, reserves
    /// resources and preempts running groups, if the group is entitled to it.
    /// @param index the index of the group among the waiting ones
    void place(std::size_t index, waiting_group group)
    {
        while (!place_on_suitable_racks(index, group))
            relax_racks(group);
    }

    round_result take_result() { return std::move(result_); }

private:
    /// @param group the group; its count is reduced by the tasks that start
    /// @return false if the other tasks should give up a wish for racks
    bool place_on_suitable_racks(std::size_t index, waiting_group& group)
    {
        auto const requested = group.count;
        start(index, group);
        if (group.count == 0)
            return true;
        bool const may_relax = group.has_rack_preference();
        if (may_relax && group.rack_wait_limit == core::duration(0))
            return false;
        bool const is_held_back = waits_for_headroom(group, requested);
        if (is_held_back && is_mostly_idle(group.service))
            return note_wait(index, group.count, wait_reason::headroom);
        auto const unplaced = group.count;
        if (reserve_after_stops(group) ||
            (group.preemption_budget > 0 && preempt(group)))
            return note_wait(index, unplaced, wait_reason::stops);
        if (may_relax && !is_held_back) {
            auto const worth_a_wait = tasks_worth_a_wait(group);
            start_elsewhere(index, group, worth_a_wait);
            if (group.count == 0)
                return true;
            if (worth_a_wait == 0 && !can_start_later(group))
                return false;
        }
        if (group.can_reserve)
            reserve(group);
        return note_wait(index, group.count, reason_of(group, is_held_back));
    }

    /// Places the tasks that should not wait for suitable racks on others, as
    /// far as they fit there now. A stop or a reservation there would be in
    /// vain if room on a suitable rack comes first.
    /// @param group the group; updated by what was placed
    /// @param worth_a_wait the number of its tasks that should wait
    void start_elsewhere(std::size_t index, waiting_group& group,
                         std::size_t worth_a_wait)
    {
        if (worth_a_wait == group.count)
            return;
        auto relaxed = group;
        relaxed.count -= worth_a_wait;
        while (relaxed.count > 0 && relaxed.has_rack_preference()) {
            relax_racks(relaxed);
            start(index, relaxed);
        }
        group.count = worth_a_wait + relaxed.count;
        group.running_tasks_by_agent =
            std::move(relaxed.running_tasks_by_agent);
    }

    /// @return whether some tasks are expected to start on a suitable rack
    bool can_start_later(waiting_group const& group) const
    {
        return tasks_startable_before(workers_, group, core::duration::max()) >
               0;
    }

    /// Places the tasks that fit now.
    /// @param group the group; updated by what was placed
    void start(std::size_t index, waiting_group& group)
    {
        auto const fit = fit_outside_headroom(group);
        if (fit.workers.empty())
            return;
        allocate(group, fit.workers);
        auto const agents = agents_of(workers_, fit.workers);
        for (auto const& agent : agents)
            ++group.running_tasks_by_agent[agent];
        group.count -= agents.size();
        if (result_.placed.empty() || result_.placed.back().group != index)
            result_.placed.push_back({index, {}});
        auto& placed = result_.placed.back().agents;
        placed.insert(placed.end(), agents.begin(), agents.end());
    }

    /// Lets a group use more racks: first others than the one with its data,
    /// then several at once.
    static void relax_racks(waiting_group& group)
    {
        group.expected_run_time =
            core::scaled(group.expected_run_time, group.remote_factor);
        group.remote_factor = 1;
        if (group.data_rack.empty())
            group.is_rack_local = false;
        group.data_rack.clear();
    }

    /// @return the number of tasks that are expected to start on a suitable
    ///         rack soon enough to wait for that
    std::size_t tasks_worth_a_wait(waiting_group const& group) const
    {
        auto const limit = is_mostly_idle(group.service)
                               ? group.idle_rack_wait_limit
                               : group.rack_wait_limit;
        return tasks_startable_before(workers_, group, limit);
    }

    static wait_reason reason_of(waiting_group const& group, bool is_held_back)
    {
        if (is_held_back)
            return wait_reason::headroom;
        return group.has_rack_preference() ? wait_reason::rack
                                           : wait_reason::room;
    }

    /// Notes why tasks wait; the first reason counts for all of a group.
    /// @return true, as nothing is left to place
    bool note_wait(std::size_t index, std::size_t tasks, wait_reason reason)
    {
        auto& unplaced = result_.unplaced;
        if (unplaced.empty() || unplaced.back().group != index)
            unplaced.push_back({index, 0, reason});
        unplaced.back().tasks += tasks;
        return true;
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

    /// @param requested the number of tasks before some were placed
    /// @return whether a whole group of this size fits, and only waits for the
    ///         headroom to be given up
    bool waits_for_headroom(waiting_group const& group,
                            std::size_t requested) const
    {
        if (group.accelerator_headroom == 0)
            return false;
        auto whole = group;
        whole.count = requested;
        return best_fit(workers_, whole, &worker::free).workers.size() ==
               requested;
    }

    /// Room that is held for a group that waits for the headroom adds to the
    /// headroom. That serves urgent work on busy workers, and keeps other work
    /// waiting beside idle ones.
    /// @return whether over half of the accelerators that a service may use are
    ///         free or, if it has none, of the cores
    bool is_mostly_idle(std::string const& service) const
    {
        std::int64_t free = 0;
        std::int64_t free_millicores = 0;
        jobs::resources capacity;
        for (auto const& worker : workers_) {
            if (!worker.is_accepting || worker.service != service)
                continue;
            free += std::max<std::int64_t>(worker.free.accelerators, 0);
            free_millicores +=
                std::max<std::int64_t>(worker.free.millicores, 0);
            capacity += worker.capacity;
        }
        if (capacity.accelerators == 0)
            return free_millicores * 2 > capacity.millicores;
        return free * 2 > capacity.accelerators;
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
