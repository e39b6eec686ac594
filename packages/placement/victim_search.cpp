#include "placement/victim_search.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace sequoiaroute::placement {

namespace {

/// The resources of a candidate set as if some victims had ended.
class simulated_evictions
{
public:
    simulated_evictions(std::span<worker const> workers,
                        candidate_set const& candidates,
                        waiting_group const& group)
        : workers_(workers), group_(group), available_(workers.size()),
          tasks_(workers.size(), 0), is_in_set_(workers.size(), false)
    {
        for (auto const index : candidates) {
            is_in_set_[index] = true;
            available_[index] =
                available_to(workers[index], group_, &worker::free_after_stops);
            tasks_[index] =
                max_tasks_on(workers[index], available_[index], group_);
            total_tasks_ += tasks_[index];
        }
    }

    /// @return whether all tasks of the group fit
    bool fits_group() const { return total_tasks_ >= group_.count; }

    /// @return whether a victim has members on workers of the set
    bool is_affected_by(victim const& candidate) const
    {
        return std::any_of(
            candidate.members.begin(), candidate.members.end(),
            [&](auto const& member) { return is_in_set_[member.worker]; });
    }

    /// Counts a victim as ended.
    void evict(victim const& evicted)
    {
        for (auto const& member : evicted.members)
            set_available(member.worker,
                          available_[member.worker] + member.task);
    }

    /// Counts a victim as running again.
    void undo_eviction(victim const& excluded)
    {
        for (auto const& member : excluded.members)
            set_available(member.worker,
                          available_[member.worker] - member.task);
    }

private:
    void set_available(std::size_t index, jobs::resources const& available)
    {
        if (!is_in_set_[index])
            return;
        available_[index] = available;
        total_tasks_ -= tasks_[index];
        tasks_[index] = max_tasks_on(workers_[index], available, group_);
        total_tasks_ += tasks_[index];
    }

    std::span<worker const> workers_;
    waiting_group const& group_;
    std::vector<jobs::resources> available_;
    std::vector<std::size_t> tasks_;
    std::vector<bool> is_in_set_;
    std::size_t total_tasks_ = 0;
};

bool may_preempt(waiting_group const& group, victim const& candidate)
{
    if (candidate.priority > group.priority)
        return true;
    return group.is_guaranteed && !candidate.is_guaranteed &&
           candidate.priority == group.priority;
}

} // namespace

bool costs_less(victim_set const& left, victim_set const& right)
{
    return std::tuple(left.jobs_made_late, left.loss_core_seconds) <
           std::tuple(right.jobs_made_late, right.loss_core_seconds);
}

std::optional<victim_set> find_victims(std::span<worker const> workers,
                                       candidate_set const& candidates,
                                       waiting_group const& group,
                                       std::span<victim const> running)
{
    simulated_evictions simulation(workers, candidates, group);
    std::vector<std::size_t> eligible;
    for (std::size_t index = 0; index < running.size(); ++index) {
        auto const& candidate = running[index];
        bool const is_spared =
            (candidate.is_protected && !group.is_guaranteed) ||
            (candidate.makes_job_late && !group.may_make_jobs_late);
        if (!candidate.is_stopped && !is_spared &&
            may_preempt(group, candidate) &&
            simulation.is_affected_by(candidate))
            eligible.push_back(index);
    }
    std::sort(
        eligible.begin(), eligible.end(),
        [&](std::size_t left, std::size_t right) {
            auto const& first = running[left];
            auto const& second = running[right];
            return std::tuple(first.priority == group.priority,
                              first.makes_job_late, first.loss_core_seconds) <
                   std::tuple(second.priority == group.priority,
                              second.makes_job_late, second.loss_core_seconds);
        });
    std::vector<std::size_t> chosen;
    for (auto const index : eligible) {
        chosen.push_back(index);
        simulation.evict(running[index]);
        if (simulation.fits_group())
            break;
    }
    if (chosen.empty() || !simulation.fits_group())
        return std::nullopt;
    // Drop the victims that are not needed, most expensive first.
    victim_set result;
    std::set<std::size_t> late_jobs;
    for (auto next = chosen.rbegin(); next != chosen.rend(); ++next) {
        auto const& candidate = running[*next];
        simulation.undo_eviction(candidate);
        if (simulation.fits_group())
            continue;
        simulation.evict(candidate);
        result.victims.push_back(*next);
        result.loss_core_seconds += candidate.loss_core_seconds;
        if (candidate.makes_job_late)
            late_jobs.insert(candidate.job);
    }
    result.jobs_made_late = late_jobs.size();
    return result;
}

} // namespace sequoiaroute::placement
