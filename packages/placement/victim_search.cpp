#include "placement/victim_search.hpp"

#include <algorithm>

namespace sequoiaroute::placement {

namespace {

/// The room of a scope once some running groups have ended.
class scope_room
{
public:
    scope_room(std::span<worker const> workers, worker_scope const& scope,
               waiting_group const& group)
        : workers_(workers), group_(group), rooms_(workers.size()),
          slots_(workers.size(), 0), is_in_scope_(workers.size(), false)
    {
        for (auto const index : scope) {
            is_in_scope_[index] = true;
            rooms_[index] = workers[index].free_after_stops;
            slots_[index] = slots_on(workers[index], rooms_[index], group_);
            total_ += slots_[index];
        }
    }

    bool is_enough() const { return total_ >= group_.count; }

    bool is_touched_by(victim const& candidate) const
    {
        return std::any_of(
            candidate.members.begin(), candidate.members.end(),
            [&](auto const& member) { return is_in_scope_[member.worker]; });
    }

    void release(victim const& ended)
    {
        for (auto const& member : ended.members)
            change(member.worker, rooms_[member.worker] + member.task);
    }

    void take_back(victim const& spared)
    {
        for (auto const& member : spared.members)
            change(member.worker, rooms_[member.worker] - member.task);
    }

private:
    void change(std::size_t index, jobs::resources const& room)
    {
        if (!is_in_scope_[index])
            return;
        rooms_[index] = room;
        total_ -= slots_[index];
        slots_[index] = slots_on(workers_[index], room, group_);
        total_ += slots_[index];
    }

    std::span<worker const> workers_;
    waiting_group const& group_;
    std::vector<jobs::resources> rooms_;
    std::vector<std::size_t> slots_;
    std::vector<bool> is_in_scope_;
    std::size_t total_ = 0;
};

} // namespace

std::optional<victim_set> find_victims(std::span<worker const> workers,
                                       worker_scope const& scope,
                                       waiting_group const& group,
                                       std::span<victim const> running)
{
    scope_room room(workers, scope, group);
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < running.size(); ++index) {
        auto const& candidate = running[index];
        if (!candidate.is_stopped && candidate.priority > group.priority &&
            room.is_touched_by(candidate))
            candidates.push_back(index);
    }
    std::sort(candidates.begin(), candidates.end(),
              [&](std::size_t left, std::size_t right) {
                  return running[left].loss_core_seconds <
                         running[right].loss_core_seconds;
              });
    std::vector<std::size_t> chosen;
    for (auto const index : candidates) {
        chosen.push_back(index);
        room.release(running[index]);
        if (room.is_enough())
            break;
    }
    if (chosen.empty() || !room.is_enough())
        return std::nullopt;
    // Spares those that are not needed, the most expensive first.
    victim_set result;
    for (auto next = chosen.rbegin(); next != chosen.rend(); ++next) {
        auto const& candidate = running[*next];
        room.take_back(candidate);
        if (room.is_enough())
            continue;
        room.release(candidate);
        result.victims.push_back(*next);
        result.loss_core_seconds += candidate.loss_core_seconds;
    }
    return result;
}

} // namespace sequoiaroute::placement
