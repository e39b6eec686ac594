#include "policy/policy_world.hpp"

#include "policy/cell_policy.hpp"
#include "policy/worker_topology.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::policy {
namespace {

using std::chrono::minutes;

struct cell_policy_properties : testing::TestWithParam<std::uint64_t>
{
    cell_policy_properties() : random(GetParam()) {}

    int pick(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(random);
    }

    void make_fleet()
    {
        auto const workers = pick(4, 14);
        for (int index = 0; index < workers; ++index)
            world.add_worker("r" + std::to_string(index / 3),
                             "d" + std::to_string(index / 6),
                             {64, 256'000, 1 << pick(0, 3)});
        for (int tries = 0; tries < 12; ++tries) {
            auto const before = world.rules;
            world.guarantee("c" + std::to_string(pick(0, 3)),
                            {pick(1, 2), 1 << pick(0, 4),
                             static_cast<adjacency>(pick(0, 3))});
            if (!core::is_ok(check_guarantees(world.rules, world.workers)))
                world.rules = before;
        }
    }

    void submit_some()
    {
        for (int count = pick(0, 3); count > 0; --count) {
            auto const members = pick(0, 3) == 0 ? 1 << pick(1, 4) : 1;
            auto& job = world.submit("c" + std::to_string(pick(0, 4)), members,
                                     {pick(1, 16), pick(1, 64'000),
                                      pick(0, 2) == 0 ? 0 : pick(1, 4)},
                                     static_cast<adjacency>(pick(0, 3)),
                                     minutes(1 + pick(0, 5) * pick(0, 40)));
            job.kind = "k" + std::to_string(pick(0, 2));
            job.is_urgent = pick(0, 5) == 0;
            job.is_unrepeatable = pick(0, 9) == 0;
        }
    }

    std::mt19937_64 random;
    policy_world world;
};

// Guards against members on workers without room, gangs in part, adjacency that
// is not kept, eviction of non-borrowing or unrepeatable jobs (all checked as
// the decision is applied), and room of a guarantee that is given away for
// good.
TEST_P(cell_policy_properties, keeps_every_promise_under_random_load)
{
    make_fleet();
    cell_policy policy(pick(0, 1) == 0 ? completion_time_weights
                                       : fragmentation_weights);
    for (int round = 0; round < 400; ++round) {
        submit_some();
        world.step(policy);
        ASSERT_FALSE(HasFatalFailure());
        auto const status = check_reclaimable(world.view());
        ASSERT_TRUE(core::is_ok(status)) << core::failure(status).message;
    }
}

// Guards against a guarantee that exists on paper only: after any load, the
// owner asks for all its cells and must hold them after one stop.
TEST_P(cell_policy_properties, reclaims_every_guaranteed_cell)
{
    make_fleet();
    cell_policy policy(completion_time_weights);
    for (int round = 0; round < 60; ++round) {
        for (int count = 0; count < 3; ++count)
            world.submit("borrower", 1, {2, 1000, pick(0, 2)}, adjacency::any,
                         minutes(pick(60, 600)));
        world.step(policy);
    }
    std::vector<std::string> claims;
    for (auto const& [customer, rule] : world.rules.customers) {
        for (auto const& shape : rule.guarantees) {
            for (int cell = 0; cell < shape.cells; ++cell)
                claims.push_back(
                    world
                        .submit(customer, shape.accelerators_per_cell,
                                {1, 1000, 1}, shape.within, minutes(600))
                        .job_id);
        }
    }
    world.step(policy);
    world.step(policy);
    for (auto const& claim : claims)
        EXPECT_TRUE(world.is_running(claim)) << claim;
}

// Guards against a low-priority customer that waits for ever behind the steady
// load of others.
TEST_P(cell_policy_properties, starves_no_customer)
{
    for (int index = 0; index < 4; ++index)
        world.add_worker("r0", "d0", {64, 256'000, 8});
    world.rules.customers["rich"].priority = 100;
    cell_policy policy(completion_time_weights);
    auto const poor =
        world.submit("poor", 4, {8, 1000, 4}, adjacency::rack, minutes(200))
            .job_id;
    for (int round = 0; round < 60 * 40 && world.is_pending(poor); ++round) {
        for (int count = 0; count < 2; ++count)
            world.submit("rich", 1, {4, 1000, pick(1, 4)}, adjacency::any,
                         minutes(pick(10, 60)));
        world.step(policy);
    }
    EXPECT_FALSE(world.is_pending(poor));
}

// Guards against backfill that delays the reservation of a large gang, also
// when run times are far longer than observed before.
TEST_P(cell_policy_properties, small_jobs_never_delay_reservation)
{
    auto const start_of_gang = [&](bool has_small_jobs) {
        std::mt19937_64 random(GetParam());
        policy_world world;
        for (int index = 0; index < 3; ++index)
            world.add_worker("r0", "d0", {64, 256'000, 8});
        cell_policy policy(completion_time_weights);
        for (int index = 0; index < 24; ++index) {
            world.submit("early", 1, {4, 1000, 1}, adjacency::any,
                         minutes(30 + random() % 300));
        }
        world.step(policy);
        auto const gang =
            world.submit("late", 3, {32, 1000, 8}, adjacency::rack, minutes(60))
                .job_id;
        while (world.is_pending(gang)) {
            if (has_small_jobs)
                world.submit("small", 1, {2, 500, 1}, adjacency::any,
                             minutes(1 + random() % 900));
            world.step(policy);
        }
        return world.now();
    };
    // A backfilled job that is still running takes one step to stop.
    EXPECT_LE(start_of_gang(true), start_of_gang(false) + minutes(1));
}

INSTANTIATE_TEST_SUITE_P(seeds, cell_policy_properties,
                         testing::Range<std::uint64_t>(1, 13));

} // namespace
} // namespace sequoiaroute::policy
