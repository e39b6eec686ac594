#include "placement/reservation.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace sequoiaroute::placement {
namespace {

using namespace std::chrono_literals;

constexpr jobs::resources whole_worker{128'000, 512'000, 8};

jobs::resources accelerators(std::int64_t count)
{
    return {1000 * count, 1000 * count, count};
}

worker make_worker(std::string agent)
{
    worker result;
    result.agent = std::move(agent);
    result.service = "s";
    result.rack = "r1";
    result.capacity = whole_worker;
    result.free = whole_worker;
    result.free_after_stops = whole_worker;
    return result;
}

/// Adds a run with a given time until its end.
void add_run(worker& target, std::int64_t count, core::duration remaining)
{
    target.free -= accelerators(count);
    target.free_after_stops -= accelerators(count);
    target.expected_ends.push_back({remaining, accelerators(count)});
}

void add_lasting_run(worker& target, std::int64_t count)
{
    target.free -= accelerators(count);
    target.free_after_stops -= accelerators(count);
    target.lasting += accelerators(count);
}

waiting_group make_group(std::size_t count, std::int64_t needed,
                         core::duration run_time)
{
    waiting_group group;
    group.service = "s";
    group.count = count;
    group.task = accelerators(needed);
    group.expected_run_time = run_time;
    group.priority = 1;
    return group;
}

waiting_group make_wide_gang(std::size_t count)
{
    auto gang = make_group(count, 8, 10s);
    gang.is_gang = true;
    gang.can_reserve = true;
    return gang;
}

/// @return the number of tasks placed of the group at an index
std::size_t placed_tasks(round_result const& result, std::size_t index)
{
    for (auto const& placed : result.placed) {
        if (placed.group == index)
            return placed.agents.size();
    }
    return 0;
}

TEST(reservation, starts_when_the_last_needed_run_ends)
{
    std::vector<worker> workers{make_worker("a"), make_worker("b"),
                                make_worker("c")};
    add_run(workers[0], 4, 3s);
    add_run(workers[1], 2, 9s);
    add_run(workers[2], 2, 1s);
    add_run(workers[2], 2, 5s);
    auto const found = find_reservation(workers, make_wide_gang(2));
    ASSERT_TRUE(found);
    EXPECT_EQ(found->workers, (std::vector<std::size_t>{0, 2}));
    EXPECT_EQ(found->start, 5s);
}

// A job that lasts has a task on every worker, and a gang that needs whole
// workers waits. Guards against room that is held for it although it cannot
// become free, while small jobs find none.
TEST(reservation, holds_nothing_that_lasting_runs_never_leave)
{
    std::vector<worker> workers{make_worker("a"), make_worker("b")};
    add_lasting_run(workers[0], 1);
    add_lasting_run(workers[1], 1);
    EXPECT_FALSE(find_reservation(workers, make_wide_gang(2)));
    std::vector<waiting_group> const waiting{make_wide_gang(2),
                                             make_group(1, 1, 2s)};
    EXPECT_EQ(placed_tasks(run_round(workers, waiting, {}), 1), 1U);
}

// Guards against workers that idle until the start of a wide job although short
// tasks wait, and against long tasks that delay its start.
TEST(reservation, lets_tasks_run_that_end_before_its_start)
{
    std::vector<worker> workers{make_worker("a")};
    add_run(workers[0], 2, 5s);
    std::vector<waiting_group> const waiting{
        make_wide_gang(1), make_group(3, 1, 2s), make_group(3, 1, 6s)};
    auto const result = run_round(workers, waiting, {});
    EXPECT_EQ(placed_tasks(result, 0), 0U);
    EXPECT_EQ(placed_tasks(result, 1), 3U);
    EXPECT_EQ(placed_tasks(result, 2), 0U);
}

// Guards against room beside a reservation that stays unused.
TEST(reservation, leaves_room_that_it_does_not_need)
{
    std::vector<worker> workers{make_worker("a")};
    add_run(workers[0], 4, 5s);
    auto wide = make_group(1, 6, 10s);
    wide.can_reserve = true;
    std::vector<waiting_group> const waiting{wide, make_group(4, 1, 60s)};
    EXPECT_EQ(placed_tasks(run_round(workers, waiting, {}), 1), 2U);
}

/// @return a group for a whole worker, and a small one, which both have to
/// leave
///         headroom for urgent work
std::vector<waiting_group> make_groups_with_headroom()
{
    auto whole = make_group(1, 8, 10s);
    whole.can_reserve = true;
    whole.accelerator_headroom = 4;
    auto small = make_group(1, 2, 10s);
    small.accelerator_headroom = 4;
    return {whole, small};
}

// Most executors have left, and a whole-worker job waits for the headroom of
// urgent work to be given up. Guards against a reservation for it, behind which
// smaller jobs wait beside idle workers.
TEST(reservation, holds_nothing_for_a_group_that_waits_for_the_headroom)
{
    std::vector<worker> const workers{make_worker("a")};
    auto const waiting = make_groups_with_headroom();
    EXPECT_EQ(placed_tasks(run_round(workers, waiting, {}), 1), 1U);
}

// Most of the fleet is in use, and a whole-worker job waits for the headroom.
// Guards against narrow work that takes the room between two urgent jobs.
TEST(reservation, holds_room_for_such_a_group_on_busy_workers)
{
    std::vector<worker> workers{make_worker("a"), make_worker("b"),
                                make_worker("c")};
    add_run(workers[1], 8, 5s);
    add_run(workers[2], 8, 5s);
    auto const waiting = make_groups_with_headroom();
    EXPECT_EQ(placed_tasks(run_round(workers, waiting, {}), 1), 0U);
}

/// Plays rounds every second, with narrow tasks that always wait.
class narrow_stream
{
public:
    /// Fills two workers with narrow tasks of which one ends each second.
    explicit narrow_stream(core::duration run_time) : run_time_(run_time)
    {
        for (auto& target : workers_) {
            for (int count = 1; count <= 8; ++count)
                add_run(target, 1,
                        std::min(run_time, core::duration(count * 1s)));
        }
    }

    /// @return whether a task for a whole worker has started within some time
    bool starts_wide_task(std::size_t seconds)
    {
        for (std::size_t second = 0; second < seconds; ++second) {
            std::vector<waiting_group> const waiting{
                make_wide_gang(1), make_group(16, 1, run_time_)};
            auto const result = run_round(workers_, waiting, {});
            if (placed_tasks(result, 0) > 0)
                return true;
            for (auto const& agent : agents_of(result, 1))
                add_run(workers_[agent == "a" ? 0 : 1], 1, run_time_);
            pass_a_second();
        }
        return false;
    }

private:
    static std::vector<std::string> agents_of(round_result const& result,
                                              std::size_t index)
    {
        for (auto const& placed : result.placed) {
            if (placed.group == index)
                return placed.agents;
        }
        return {};
    }

    void pass_a_second()
    {
        for (auto& target : workers_) {
            std::erase_if(target.expected_ends, [&](auto& end) {
                end.after -= 1s;
                if (end.after > 0s)
                    return false;
                target.free += end.room;
                target.free_after_stops += end.room;
                return true;
            });
        }
    }

    core::duration run_time_;
    std::vector<worker> workers_{make_worker("a"), make_worker("b")};
};

// Guards against starvation of a wide job under a stream of narrow ones.
TEST(reservation, lets_a_wide_task_start_under_a_stream_of_narrow_ones)
{
    EXPECT_TRUE(narrow_stream(7s).starts_wide_task(15));
}

} // namespace
} // namespace sequoiaroute::placement
