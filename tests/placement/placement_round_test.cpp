#include "placement/placement_round.hpp"
#include "placement/worker_health.hpp"
#include "placement/worker_speed.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace sequoiaroute::placement {
namespace {

using namespace std::chrono_literals;

constexpr jobs::resources whole_worker{128'000, 512'000, 8};

worker make_worker(std::string agent, std::string rack, std::int64_t free)
{
    worker result;
    result.agent = std::move(agent);
    result.service = "s";
    result.rack = std::move(rack);
    result.labels = {"a", result.rack};
    result.capacity = whole_worker;
    result.free = {128'000, 512'000, free};
    result.free_after_stops = result.free;
    return result;
}

waiting_group make_group(std::size_t count, std::int64_t accelerators)
{
    waiting_group group;
    group.service = "s";
    group.count = count;
    group.task = {1000, 1000, accelerators};
    group.priority = 1;
    return group;
}

using agents = std::vector<std::string>;

// Guards against small tasks that fragment the workers, so that a task that
// needs a whole worker fits nowhere.
TEST(placement_round, fills_the_tightest_worker_first)
{
    std::vector<worker> const workers{make_worker("empty", "r1", 8),
                                      make_worker("used", "r1", 2)};
    EXPECT_EQ(find_agents(workers, make_group(2, 1), &worker::free),
              (agents{"used", "used"}));
}

TEST(placement_round, places_all_tasks_of_a_gang_or_none)
{
    std::vector<worker> const workers{make_worker("a", "r1", 8),
                                      make_worker("b", "r1", 4)};
    auto gang = make_group(2, 8);
    gang.is_gang = true;
    EXPECT_TRUE(find_agents(workers, gang, &worker::free).empty());
    gang.is_gang = false;
    EXPECT_EQ(find_agents(workers, gang, &worker::free), (agents{"a"}));
}

// Guards against a rack-local gang that is spread over several racks, where it
// runs three times as long.
TEST(placement_round, keeps_a_rack_local_gang_on_one_rack)
{
    std::vector<worker> const workers{make_worker("a", "r1", 4),
                                      make_worker("b", "r2", 4),
                                      make_worker("c", "r2", 8)};
    auto gang = make_group(2, 4);
    gang.is_gang = true;
    gang.is_rack_local = true;
    EXPECT_EQ(find_agents(workers, gang, &worker::free), (agents{"b", "c"}));
}

TEST(placement_round, obeys_label_data_rack_and_max_per_worker)
{
    std::vector<worker> workers{make_worker("a", "r1", 8),
                                make_worker("b", "r2", 8)};
    auto group = make_group(3, 1);
    group.data_rack = "r2";
    EXPECT_EQ(find_agents(workers, group, &worker::free),
              (agents{"b", "b", "b"}));
    group.max_per_worker = 2;
    group.running_tasks_by_agent["b"] = 1;
    EXPECT_EQ(find_agents(workers, group, &worker::free), (agents{"b"}));
    group.data_rack.clear();
    group.required_label = "none";
    EXPECT_TRUE(find_agents(workers, group, &worker::free).empty());
}

/// Two workers full of non-urgent runs. Little is lost by stopping the second,
/// which has a recent checkpoint.
struct full_workers
{
    std::vector<worker> workers{make_worker("a", "r1", 0),
                                make_worker("b", "r1", 0)};
    std::vector<running_group> running{
        {{{"a", {1000, 1000, 8}}}, 1, 900},
        {{{"b", {1000, 1000, 8}}}, 2, 50},
    };
};

// An urgent group that is covered by a guarantee arrives while all workers are
// full. The run with the smaller loss has to be preempted.
TEST(placement_round, preempts_the_run_with_the_least_loss)
{
    full_workers const full;
    auto urgent = make_group(1, 8);
    urgent.priority = 0;
    urgent.is_guaranteed = true;
    urgent.preemption_budget = std::numeric_limits<double>::max();
    std::vector<waiting_group> const waiting{urgent};
    auto const result = run_round(full.workers, waiting, full.running);
    EXPECT_TRUE(result.placed.empty());
    EXPECT_EQ(result.stopped, (std::vector<std::size_t>{1}));
}

// Preempted runs end one by one while small non-urgent tasks wait. Guards
// against placing these on resources reserved for the urgent group.
TEST(placement_round, reserves_the_resources_of_preempted_runs)
{
    full_workers full;
    full.workers[1].free.accelerators = 4;
    full.workers[1].free_after_stops.accelerators = 8;
    auto urgent = make_group(1, 8);
    urgent.priority = 0;
    std::vector<waiting_group> const waiting{urgent, make_group(4, 1)};
    auto const result = run_round(full.workers, waiting, {});
    EXPECT_TRUE(result.placed.empty());
}

// An urgent step of independent tasks needs more than preemption can free.
// Guards against a loop in which the preempted runs start again on the
// resources that they have just freed for it.
TEST(placement_round, reserves_resources_for_part_of_an_urgent_group)
{
    std::vector<worker> workers{make_worker("a", "r1", 4),
                                make_worker("b", "r1", 0)};
    workers[0].free_after_stops.accelerators = 8;
    auto urgent = make_group(3, 8);
    urgent.priority = 0;
    urgent.preemption_budget = std::numeric_limits<double>::max();
    std::vector<waiting_group> const waiting{urgent, make_group(4, 1)};
    std::vector<running_group> const running{{{{"b", {1000, 1000, 8}}}, 1, 10}};
    auto const result = run_round(workers, waiting, running);
    EXPECT_TRUE(result.placed.empty());
    EXPECT_EQ(result.stopped, (std::vector<std::size_t>{0}));
}

// Guards against preemption for an urgent job without a guarantee that discards
// more work than the job is worth.
TEST(placement_round, does_not_exceed_the_preemption_budget)
{
    full_workers const full;
    auto urgent = make_group(1, 8);
    urgent.priority = 0;
    urgent.preemption_budget = 10;
    std::vector<waiting_group> const waiting{urgent};
    EXPECT_TRUE(run_round(full.workers, waiting, full.running).stopped.empty());
}

// Guards against starvation of a large gang while small tasks keep arriving.
TEST(placement_round, reserves_a_worker_for_a_blocked_gang)
{
    std::vector<worker> const workers{make_worker("a", "r1", 6),
                                      make_worker("b", "r1", 1)};
    auto gang = make_group(1, 8);
    gang.is_gang = true;
    gang.can_reserve = true;
    std::vector<waiting_group> const waiting{gang, make_group(3, 1)};
    auto const result = run_round(workers, waiting, {});
    ASSERT_EQ(result.placed.size(), 1U);
    EXPECT_EQ(result.placed[0].agents, (agents{"b"}));
}

// Guards against an urgent gang that misses its objective because one member
// runs on a slow worker.
TEST(placement_round, gives_fast_workers_to_urgent_gangs)
{
    std::vector<worker> workers{
        make_worker("slow", "r1", 4), make_worker("fast", "r1", 8),
        make_worker("slower", "r2", 8), make_worker("fast2", "r2", 8)};
    workers[0].slowness = 2;
    workers[2].slowness = 2;
    auto gang = make_group(2, 4);
    gang.is_gang = true;
    gang.priority = 0;
    EXPECT_EQ(find_agents(workers, gang, &worker::free),
              (agents{"fast", "fast"}));
    gang.priority = 1;
    gang.count = 1;
    EXPECT_EQ(find_agents(workers, gang, &worker::free), (agents{"slow"}));
}

// A third of the workers is fast. Guards against work with time to spare that
// takes their room from the urgent work that needs it to be in time.
TEST(placement_round, leaves_fast_workers_to_work_that_is_short_of_time)
{
    std::vector<worker> workers{make_worker("fast", "r1", 2),
                                make_worker("usual", "r1", 8)};
    workers[0].slowness = -5;
    auto group = make_group(2, 1);
    EXPECT_EQ(find_agents(workers, group, &worker::free),
              (agents{"usual", "usual"}));
    group.count = 10;
    EXPECT_EQ(find_agents(workers, group, &worker::free).size(), 10U);
    group.count = 2;
    group.is_short_of_time = true;
    EXPECT_EQ(find_agents(workers, group, &worker::free),
              (agents{"fast", "fast"}));
}

// A third of the workers is fast. Guards against gangs on workers of unequal
// speed, where the fast ones idle until the slowest member has ended, and
// against a gang that waits because its workers would be unequal.
TEST(placement_round, places_a_gang_on_workers_of_like_speed)
{
    std::vector<worker> workers{
        make_worker("fast-1", "r1", 2), make_worker("fast-2", "r1", 8),
        make_worker("slow-1", "r1", 4), make_worker("slow-2", "r1", 8)};
    for (auto const index : {0U, 1U})
        workers[index].slowness = -5;
    for (auto const index : {2U, 3U})
        workers[index].slowness = 4;
    auto gang = make_group(3, 2);
    gang.is_gang = true;
    EXPECT_EQ(find_agents(workers, gang, &worker::free),
              (agents{"slow-1", "slow-1", "slow-2"}));
    gang.count = 10;
    EXPECT_EQ(find_agents(workers, gang, &worker::free).size(), 10U);
}

// Urgent gangs arrive every second. Guards against non-urgent work that takes
// the headroom that the next gang needs.
TEST(placement_round, keeps_headroom_for_urgent_work_free)
{
    std::vector<worker> const workers{make_worker("a", "r1", 8),
                                      make_worker("b", "r1", 4)};
    auto non_urgent = make_group(12, 1);
    non_urgent.accelerator_headroom = 5;
    std::vector<waiting_group> waiting{non_urgent};
    auto const result = run_round(workers, waiting, {});
    ASSERT_EQ(result.placed.size(), 1U);
    EXPECT_EQ(result.placed[0].agents.size(), 7U);
    waiting[0].is_gang = true;
    EXPECT_TRUE(run_round(workers, waiting, {}).placed.empty());
}

// Waiting for preempted runs to end uses up the slack of the urgent group.
// Guards against preempting on a slow worker, where the group would then miss
// its objective, unless only that fits the budget.
TEST(placement_round, preempts_on_fast_workers_first)
{
    full_workers full;
    full.workers[1].slowness = 3;
    auto urgent = make_group(1, 8);
    urgent.priority = 0;
    urgent.preemption_budget = 1000;
    std::vector<waiting_group> waiting{urgent};
    EXPECT_EQ(run_round(full.workers, waiting, full.running).stopped,
              (std::vector<std::size_t>{0}));
    waiting[0].preemption_budget = 100;
    EXPECT_EQ(run_round(full.workers, waiting, full.running).stopped,
              (std::vector<std::size_t>{1}));
}

TEST(worker_speed, compares_run_times_of_equal_tasks)
{
    worker_speed speed;
    for (int round = 0; round < 6; ++round) {
        auto const group = "job-" + std::to_string(round);
        speed.record("a", group, 2000ms);
        speed.record("b", group, 2050ms);
        speed.record("c", group, 1950ms);
        speed.record("slow", group, 2600ms);
    }
    EXPECT_GT(speed.slowness("slow"), 0);
    EXPECT_EQ(speed.slowness("a"), 0);
    EXPECT_EQ(speed.slowness("unknown"), 0);
    speed.discard_worker("slow");
    EXPECT_EQ(speed.slowness("slow"), 0);
}

TEST(worker_health, avoids_a_worker_on_which_several_jobs_fail)
{
    worker_health health;
    core::time_point const start{1000s};
    health.record_failure("a", "job-1", start);
    health.record_failure("a", "job-1", start);
    EXPECT_FALSE(health.is_avoided("a", start));
    EXPECT_GT(health.recent_failures("a", start), 0);
    health.record_failure("a", "job-2", start);
    EXPECT_TRUE(health.is_avoided("a", start));
    EXPECT_FALSE(health.is_avoided("a", start + 1min));
    health.record_success("a");
    EXPECT_FALSE(health.is_avoided("a", start));
}

} // namespace
} // namespace sequoiaroute::placement
