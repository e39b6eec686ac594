#include "policy/policy_world.hpp"

#include "policy/cell_policy.hpp"
#include "policy/worker_topology.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiaroute::policy {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using testing::HasSubstr;

struct cell_policy_test : testing::Test
{
    void add_workers(int count)
    {
        for (int index = 0; index < count; ++index)
            world.add_worker("r" + std::to_string(index / 3), "d0",
                             {64, 256'000, 8});
    }

    std::string submit(std::string customer, int members, int accelerators,
                       adjacency within, core::duration run_time = hours(5))
    {
        return world
            .submit(std::move(customer), members, {4, 1000, accelerators},
                    within, run_time)
            .job_id;
    }

    policy_world world;
    cell_policy policy{completion_time_weights};
};

// Guards against scattered small jobs that leave no whole worker free.
TEST_F(cell_policy_test, packs_small_jobs_on_one_worker)
{
    add_workers(3);
    for (int index = 0; index < 8; ++index) {
        submit("press", 1, 1, adjacency::any);
        world.step(policy);
    }
    EXPECT_EQ(
        worker_topology(world.workers)
            .count_free_groups(adjacency::worker,
                               std::vector<resources>{world.workers[0].free,
                                                      world.workers[1].free,
                                                      world.workers[2].free}),
        2);
}

// Guards against an owner that waits behind borrowers, against more victims
// than needed, and against the costly victim being chosen.
TEST_F(cell_policy_test, reclaims_with_least_lost_work)
{
    add_workers(2);
    world.guarantee("owner", {1, 8, adjacency::worker});
    auto const old = submit("guest", 8, 1, adjacency::worker);
    world.step(policy);
    world.step(policy);
    auto const fresh = submit("guest", 8, 1, adjacency::worker);
    world.step(policy);
    ASSERT_TRUE(world.is_running(old) && world.is_running(fresh));
    auto const owned = submit("owner", 8, 1, adjacency::worker);
    world.step(policy);
    EXPECT_EQ(world.evictions, 1);
    world.step(policy);
    EXPECT_TRUE(world.is_running(owned));
    EXPECT_TRUE(world.is_running(old));
    EXPECT_FALSE(world.running.back().is_borrowing);
}

// Guards against a job beyond its customer's guarantee that evicts others.
TEST_F(cell_policy_test, evicts_nothing_beyond_guarantee)
{
    add_workers(1);
    world.guarantee("owner", {1, 4, adjacency::worker});
    submit("guest", 4, 1, adjacency::worker);
    submit("owner", 4, 1, adjacency::worker);
    world.step(policy);
    submit("owner", 4, 1, adjacency::worker);
    world.step(policy);
    EXPECT_EQ(world.evictions, 0);
    EXPECT_THAT(world.last.notes[0].text,
                HasSubstr("waiting for 4 adjacent accelerators"));
}

// Guards against an unrepeatable job on borrowable_past_reservation room, where
// reclaim would have to stop it, and against one that waits for ever for room
// it can never have.
TEST_F(cell_policy_test, lends_no_guaranteed_room_to_unrepeatable_jobs)
{
    add_workers(2);
    world.guarantee("owner", {1, 8, adjacency::worker});
    submit("guest", 8, 1, adjacency::worker);
    world.pending.back().is_unrepeatable = true;
    world.step(policy);
    ASSERT_EQ(world.running.size(), 1U);
    EXPECT_FALSE(world.running[0].is_borrowing);
    submit("guest", 16, 1, adjacency::any);
    world.pending.back().is_unrepeatable = true;
    world.step(policy);
    ASSERT_EQ(world.last.rejections.size(), 1U);
    EXPECT_THAT(world.last.rejections[0].reason, HasSubstr("unrepeatable"));
}

// Guards against a gang that waits for small jobs which could run elsewhere,
// and against more moves in an hour than the bound.
TEST_F(cell_policy_test, moves_small_jobs_for_waiting_gang)
{
    add_workers(2);
    std::vector<std::string> large;
    for (int index = 0; index < 2; ++index) {
        large.push_back(submit("press", 7, 1, adjacency::worker, minutes(5)));
        world.step(policy);
    }
    for (int index = 0; index < 2; ++index)
        submit("press", 1, 1, adjacency::any, hours(9));
    for (int round = 0; round < 8; ++round)
        world.step(policy);
    ASSERT_EQ(world.running.size(), 2U);
    ASSERT_NE(world.running[0].members, world.running[1].members);
    auto const gang = submit("press", 8, 1, adjacency::worker);
    for (int round = 0; round < 25; ++round)
        world.step(policy);
    EXPECT_TRUE(world.is_running(gang));
    EXPECT_EQ(world.evictions, 1);
}

// Guards against a customer above its limit, and a job above it that waits.
TEST_F(cell_policy_test, honours_accelerator_limit)
{
    add_workers(1);
    world.rules.customers["press"].limits.accelerators = 2;
    submit("press", 2, 1, adjacency::any);
    submit("press", 1, 1, adjacency::any);
    submit("press", 3, 1, adjacency::any);
    world.step(policy);
    EXPECT_EQ(world.running.size(), 1U);
    ASSERT_EQ(world.last.rejections.size(), 1U);
    EXPECT_THAT(world.last.rejections[0].reason, HasSubstr("limit"));
    EXPECT_THAT(world.last.notes[0].text, HasSubstr("holds 2 of 2"));
}

// Guards against a job that waits for ever because no worker is large enough.
TEST_F(cell_policy_test, rejects_job_that_never_fits)
{
    add_workers(2);
    submit("press", 1, 9, adjacency::any);
    world.step(policy);
    ASSERT_EQ(world.last.rejections.size(), 1U);
    EXPECT_THAT(world.last.rejections[0].reason, HasSubstr("9 accelerators"));
}

// Guards against work without accelerators that uses up the processors which
// free accelerators need.
TEST_F(cell_policy_test, keeps_processor_work_off_free_accelerators)
{
    add_workers(1);
    world.add_worker("r0", "d0", {64, 256'000, 0});
    submit("press", 4, 0, adjacency::any);
    world.step(policy);
    ASSERT_EQ(world.running.size(), 1U);
    EXPECT_THAT(world.running[0].members, testing::Each(1U));
}

// Guards against urgent work behind older work that is not.
TEST_F(cell_policy_test, places_urgent_work_first)
{
    add_workers(1);
    submit("press", 8, 1, adjacency::worker);
    auto const urgent = submit("press", 8, 1, adjacency::worker);
    world.pending.back().is_urgent = true;
    world.step(policy);
    EXPECT_TRUE(world.is_running(urgent));
}

} // namespace
} // namespace sequoiaroute::policy
