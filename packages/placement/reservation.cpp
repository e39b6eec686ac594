#include "placement/reservation.hpp"

#include <algorithm>
#include <tuple>

namespace sequoiaroute::placement {

namespace {

using jobs::resources;

/// Tasks of the group that a worker can hold from some time on, in addition to
/// those that it can hold before.
struct opening
{
    core::duration after{0};
    std::int64_t free_accelerators = 0; ///< of the worker, now
    std::size_t worker = 0;
    std::size_t tasks = 0;
};

resources held_on(worker const& candidate)
{
    resources held;
    for (auto const& hold : candidate.holds)
        held += hold.room;
    return held;
}

/// Adds the openings of one worker in order of time.
void add_openings(std::span<worker const> workers, std::size_t index,
                  waiting_group const& group, std::vector<opening>& openings)
{
    auto const& candidate = workers[index];
    auto available = candidate.free_after_stops - held_on(candidate);
    std::size_t known_tasks = 0;
    auto const add = [&](core::duration after) {
        auto const tasks = max_tasks_on(candidate, available, group);
        if (tasks <= known_tasks)
            return;
        openings.push_back({after, candidate.free_after_stops.accelerators,
                            index, tasks - known_tasks});
        known_tasks = tasks;
    };
    add(core::duration(0));
    auto ends = candidate.expected_ends;
    std::sort(ends.begin(), ends.end(),
              [](auto const& left, auto const& right) {
                  return left.after < right.after;
              });
    for (auto const& end : ends) {
        available += end.room;
        add(end.after);
    }
    // Other runs end as well, but it is not known when.
    available = candidate.capacity - candidate.lasting - held_on(candidate);
    add(core::duration::max());
}

std::vector<opening> openings_on(std::span<worker const> workers,
                                 candidate_set const& candidates,
                                 waiting_group const& group)
{
    std::vector<opening> openings;
    for (auto const index : candidates)
        add_openings(workers, index, group, openings);
    return openings;
}

std::optional<reservation> reserve_in(std::span<worker const> workers,
                                      candidate_set const& candidates,
                                      waiting_group const& group)
{
    auto openings = openings_on(workers, candidates, group);
    std::sort(openings.begin(), openings.end(),
              [](auto const& left, auto const& right) {
                  return std::tuple(left.after, -left.free_accelerators,
                                    left.worker) <
                         std::tuple(right.after, -right.free_accelerators,
                                    right.worker);
              });
    reservation found;
    for (auto const& next : openings) {
        auto const missing = group.count - found.workers.size();
        found.workers.insert(found.workers.end(), std::min(next.tasks, missing),
                             next.worker);
        found.start = next.after;
        if (found.workers.size() == group.count)
            return found;
    }
    return std::nullopt;
}

} // namespace

std::optional<reservation> find_reservation(std::span<worker const> workers,
                                            waiting_group const& group)
{
    std::optional<reservation> best;
    for (auto const& candidates : candidate_sets(workers, group)) {
        auto found = reserve_in(workers, candidates, group);
        if (found && (!best || found->start < best->start))
            best = std::move(found);
    }
    return best;
}

std::size_t tasks_startable_before(std::span<worker const> workers,
                                   waiting_group const& group,
                                   core::duration limit)
{
    std::size_t most = 0;
    for (auto const& candidates : candidate_sets(workers, group)) {
        std::size_t tasks = 0;
        for (auto const& next : openings_on(workers, candidates, group)) {
            if (next.after < limit)
                tasks += next.tasks;
        }
        most = std::max(most, std::min(tasks, group.count));
    }
    if (group.is_gang && most < group.count)
        return 0;
    return group.is_rack_local && most > 0 ? group.count : most;
}

} // namespace sequoiaroute::placement
