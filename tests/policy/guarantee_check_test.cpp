#include "policy/policy_world.hpp"

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
            world.add_worker("r" + std::to_string(index / 3), "d0",
                             {64, 256'000, 8});
    }

    core::status check()
    {
        return check_guarantees(world.rules, world.workers);
    }

    policy_world world;
};

// Guards against rules that promise more than the fleet has, and an error from
// which an operator cannot tell whose promise is too much.
TEST_F(guarantee_check, names_customers_and_shapes_that_do_not_fit)
{
    add_workers(11);
    world.guarantee("press", {6, 8, adjacency::worker});
    world.guarantee("labor", {7, 8, adjacency::worker});
    auto const status = check();
    ASSERT_EQ(core::code_of(status), core::result_code::guarantees_do_not_fit);
    EXPECT_THAT(core::failure(status).message,
                HasSubstr("the guarantees need 13 whole workers; the fleet "
                          "has 11"));
    EXPECT_THAT(core::failure(status).message,
                HasSubstr("2 cell(s) of 8 accelerator(s) within one worker"));
}

// Guards against a sum that fits while the shapes do not: racks of 24, 24, 24
// and 16 hold three gangs of 24 and two whole workers, not four gangs.
TEST_F(guarantee_check, embeds_mixed_levels)
{
    add_workers(11);
    world.guarantee("labor", {3, 24, adjacency::rack});
    world.guarantee("press", {2, 8, adjacency::worker});
    EXPECT_TRUE(core::is_ok(check()));
    world.rules.customers["labor"].guarantees[0].cells = 4;
    world.rules.customers["press"].guarantees[0].cells = 0;
    EXPECT_FALSE(core::is_ok(check()));
}

// Guards against whole workers counted on workers of different sizes.
TEST_F(guarantee_check, respects_different_worker_sizes)
{
    world.add_worker("r0", "d0", {64, 1000, 2});
    world.add_worker("r0", "d0", {64, 1000, 4});
    world.guarantee("press", {1, 4, adjacency::worker});
    world.guarantee("labor", {2, 1, adjacency::worker});
    EXPECT_TRUE(core::is_ok(check()));
    world.guarantee("press", {1, 4, adjacency::worker});
    EXPECT_FALSE(core::is_ok(check()));
}

// Guards against a non-borrowing job that holds the processors of another
// customer's accelerators, which counts as holding the accelerators.
TEST_F(guarantee_check, counts_processors_against_reclaim)
{
    add_workers(1);
    world.guarantee("press", {1, 8, adjacency::worker});
    running_job_view intruder;
    intruder.job.customer = "labor";
    intruder.job.member = {1, 1, 0};
    intruder.members = {0};
    world.running.push_back(intruder);
    EXPECT_FALSE(core::is_ok(check_reclaimable(world.view())));
    world.running[0].is_borrowing = true;
    EXPECT_TRUE(core::is_ok(check_reclaimable(world.view())));
}

// Guards against free accelerators counted as usable when they are scattered
// or their processors are gone.
TEST_F(guarantee_check, counts_stranded_accelerators)
{
    add_workers(2);
    worker_topology const tree(world.workers);
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
