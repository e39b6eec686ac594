#include "policy/cluster_simulator.hpp"

#include "policy/guarantee_check.hpp"
#include "policy/worker_topology.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiaroute::policy {
namespace {

using testing::HasSubstr;

struct guarantee_check : testing::Test
{
    void add_workers(int count)
    {
        for (int index = 0; index < count; ++index)
            cluster.add_worker("r" + std::to_string(index / 3), "d0",
                               {64, 256'000, 8});
    }

    core::status check()
    {
        return check_guarantees(cluster.rules, cluster.workers);
    }

    cluster_simulator cluster;
};

// Guards against guarantees that exceed the fleet, and against an error that
// does not name the customers and shapes.
TEST_F(guarantee_check, names_customers_and_shapes_that_do_not_fit)
{
    add_workers(11);
    cluster.guarantee("press", {6, 8, adjacency::worker});
    cluster.guarantee("labor", {7, 8, adjacency::worker});
    auto const status = check();
    ASSERT_EQ(core::code_of(status), core::result_code::guarantees_do_not_fit);
    EXPECT_THAT(core::failure(status).message,
                HasSubstr("the guarantees need 13 whole workers; the fleet "
                          "has 11"));
    EXPECT_THAT(core::failure(status).message,
                HasSubstr("2 cell(s) of 8 accelerator(s) within one worker"));
}

// Guards against checking only the sum of accelerators: racks of 24, 24, 24 and
// 16 fit three cells of 24 and two whole workers, but not four cells of 24.
TEST_F(guarantee_check, embeds_mixed_levels)
{
    add_workers(11);
    cluster.guarantee("labor", {3, 24, adjacency::rack});
    cluster.guarantee("press", {2, 8, adjacency::worker});
    EXPECT_TRUE(core::is_ok(check()));
    cluster.rules.customers["labor"].guarantees[0].cells = 4;
    cluster.rules.customers["press"].guarantees[0].cells = 0;
    EXPECT_FALSE(core::is_ok(check()));
}

// Guards against treating workers of different sizes as equal.
TEST_F(guarantee_check, respects_different_worker_sizes)
{
    cluster.add_worker("r0", "d0", {64, 1000, 2});
    cluster.add_worker("r0", "d0", {64, 1000, 4});
    cluster.guarantee("press", {1, 4, adjacency::worker});
    cluster.guarantee("labor", {2, 1, adjacency::worker});
    EXPECT_TRUE(core::is_ok(check()));
    cluster.guarantee("press", {1, 4, adjacency::worker});
    EXPECT_FALSE(core::is_ok(check()));
}

// Guards against ignoring processors: a non-borrowing job that holds those of
// another customer's accelerators makes the accelerators unusable.
TEST_F(guarantee_check, counts_processors_against_reclaim)
{
    add_workers(1);
    cluster.guarantee("press", {1, 8, adjacency::worker});
    running_job_view non_borrowing;
    non_borrowing.job.customer = "labor";
    non_borrowing.job.member = {1, 1, 0};
    non_borrowing.members = {0};
    cluster.running.push_back(non_borrowing);
    EXPECT_FALSE(core::is_ok(check_reclaimable(cluster.view())));
    cluster.running[0].is_borrowing = true;
    EXPECT_TRUE(core::is_ok(check_reclaimable(cluster.view())));
}

// Guards against counting free accelerators as usable although they are
// scattered or lack free processors.
TEST_F(guarantee_check, counts_stranded_accelerators)
{
    add_workers(2);
    worker_topology const tree(cluster.workers);
    job_view shape;
    shape.member = {8, 1000, 1};
    shape.members = 4;
    shape.within = adjacency::worker;
    std::vector<resources> free{{64, 256'000, 3}, {16, 256'000, 8}};
    EXPECT_EQ(tree.stranded_accelerators(std::span(&shape, 1), free), 11);
    shape.within = adjacency::rack;
    EXPECT_EQ(tree.stranded_accelerators(std::span(&shape, 1), free), 6);
    EXPECT_EQ(tree.largest_free_block(adjacency::rack, free), 11);
}

} // namespace
} // namespace sequoiaroute::policy
