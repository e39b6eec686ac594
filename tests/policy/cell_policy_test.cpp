#include "policy/cluster_simulator.hpp"

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
            cluster.add_worker("r" + std::to_string(index / 3), "d0",
                               {64, 256'000, 8});
    }

    std::string submit(std::string customer, int members, int accelerators,
                       adjacency within, core::duration run_time = hours(5))
    {
        return cluster
            .submit(std::move(customer), members, {4, 1000, accelerators},
                    within, run_time)
            .job_id;
    }

    cluster_simulator cluster;
    cell_policy policy{completion_time_weights};
};

// Guards against fragmentation: small jobs on all workers leave no whole worker
// free.
TEST_F(cell_policy_test, packs_small_jobs_on_one_worker)
{
    add_workers(3);
    for (int index = 0; index < 8; ++index) {
        submit("press", 1, 1, adjacency::any);
        cluster.step(policy);
    }
    EXPECT_EQ(
        worker_topology(cluster.workers)
            .count_free_groups(adjacency::worker,
                               std::vector<resources>{cluster.workers[0].free,
                                                      cluster.workers[1].free,
                                                      cluster.workers[2].free}),
        2);
}

// Guards against a guaranteed job that waits for borrowing ones, against more
// evictions than needed, and against evicting the job that loses most work.
TEST_F(cell_policy_test, reclaims_with_least_lost_work)
{
    add_workers(2);
    cluster.guarantee("owner", {1, 8, adjacency::worker});
    auto const long_running = submit("guest", 8, 1, adjacency::worker);
    cluster.step(policy);
    cluster.step(policy);
    auto const recent = submit("guest", 8, 1, adjacency::worker);
    cluster.step(policy);
    ASSERT_TRUE(cluster.is_running(long_running) && cluster.is_running(recent));
    auto const guaranteed = submit("owner", 8, 1, adjacency::worker);
    cluster.step(policy);
    EXPECT_EQ(cluster.evictions, 1);
    cluster.step(policy);
    EXPECT_TRUE(cluster.is_running(guaranteed));
    EXPECT_TRUE(cluster.is_running(long_running));
    EXPECT_FALSE(cluster.running.back().is_borrowing);
}

// Guards against evictions for a job beyond its customer's guarantee.
TEST_F(cell_policy_test, evicts_nothing_beyond_guarantee)
{
    add_workers(1);
    cluster.guarantee("owner", {1, 4, adjacency::worker});
    submit("guest", 4, 1, adjacency::worker);
    submit("owner", 4, 1, adjacency::worker);
    cluster.step(policy);
    submit("owner", 4, 1, adjacency::worker);
    cluster.step(policy);
    EXPECT_EQ(cluster.evictions, 0);
    EXPECT_THAT(cluster.last_decision.notes[0].text,
                HasSubstr("waiting for 4 adjacent accelerators"));
}

// Guards against an unrepeatable job on guaranteed cells, which could not be
// reclaimed from it, and against one that waits forever because it needs them.
TEST_F(cell_policy_test, lends_no_guaranteed_cells_to_unrepeatable_jobs)
{
    add_workers(2);
    cluster.guarantee("owner", {1, 8, adjacency::worker});
    submit("guest", 8, 1, adjacency::worker);
    cluster.pending.back().is_unrepeatable = true;
    cluster.step(policy);
    ASSERT_EQ(cluster.running.size(), 1U);
    EXPECT_FALSE(cluster.running[0].is_borrowing);
    submit("guest", 16, 1, adjacency::any);
    cluster.pending.back().is_unrepeatable = true;
    cluster.step(policy);
    ASSERT_EQ(cluster.last_decision.rejections.size(), 1U);
    EXPECT_THAT(cluster.last_decision.rejections[0].reason,
                HasSubstr("unrepeatable"));
}

// Guards against a gang that waits for small jobs which could run elsewhere,
// and against more moves than needed.
TEST_F(cell_policy_test, moves_small_jobs_for_waiting_gang)
{
    add_workers(2);
    std::vector<std::string> large;
    for (int index = 0; index < 2; ++index) {
        large.push_back(submit("press", 7, 1, adjacency::worker, minutes(5)));
        cluster.step(policy);
    }
    for (int index = 0; index < 2; ++index)
        submit("press", 1, 1, adjacency::any, hours(9));
    for (int round = 0; round < 8; ++round)
        cluster.step(policy);
    ASSERT_EQ(cluster.running.size(), 2U);
    ASSERT_NE(cluster.running[0].members, cluster.running[1].members);
    auto const gang = submit("press", 8, 1, adjacency::worker);
    for (int round = 0; round < 25; ++round)
        cluster.step(policy);
    EXPECT_TRUE(cluster.is_running(gang));
    EXPECT_EQ(cluster.evictions, 1);
}

// Guards against exceeding a customer's accelerator limit, and against a job
// above the limit that waits forever.
TEST_F(cell_policy_test, honours_accelerator_limit)
{
    add_workers(1);
    cluster.rules.customers["press"].limits.accelerators = 2;
    submit("press", 2, 1, adjacency::any);
    submit("press", 1, 1, adjacency::any);
    submit("press", 3, 1, adjacency::any);
    cluster.step(policy);
    EXPECT_EQ(cluster.running.size(), 1U);
    ASSERT_EQ(cluster.last_decision.rejections.size(), 1U);
    EXPECT_THAT(cluster.last_decision.rejections[0].reason, HasSubstr("limit"));
    EXPECT_THAT(cluster.last_decision.notes[0].text, HasSubstr("holds 2 of 2"));
}

// Guards against a job that waits forever because no worker is large enough.
TEST_F(cell_policy_test, rejects_job_too_large_for_idle_fleet)
{
    add_workers(2);
    submit("press", 1, 9, adjacency::any);
    cluster.step(policy);
    ASSERT_EQ(cluster.last_decision.rejections.size(), 1U);
    EXPECT_THAT(cluster.last_decision.rejections[0].reason,
                HasSubstr("9 accelerators"));
}

// Guards against jobs without accelerators that use up the processors of free
// accelerators.
TEST_F(cell_policy_test, places_jobs_without_accelerators_off_free_accelerators)
{
    add_workers(1);
    cluster.add_worker("r0", "d0", {64, 256'000, 0});
    submit("press", 4, 0, adjacency::any);
    cluster.step(policy);
    ASSERT_EQ(cluster.running.size(), 1U);
    EXPECT_THAT(cluster.running[0].members, testing::Each(1U));
}

// Guards against urgent jobs that wait for older jobs that are not urgent.
TEST_F(cell_policy_test, places_urgent_work_first)
{
    add_workers(1);
    submit("press", 8, 1, adjacency::worker);
    auto const urgent = submit("press", 8, 1, adjacency::worker);
    cluster.pending.back().is_urgent = true;
    cluster.step(policy);
    EXPECT_TRUE(cluster.is_running(urgent));
}

} // namespace
} // namespace sequoiaroute::policy
