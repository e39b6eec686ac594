#include "policy/cluster_simulator.hpp"

#include "policy/cell_policy.hpp"
#include "policy/worker_topology.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::policy {
namespace {

using std::chrono::minutes;

struct cell_policy_properties : testing::TestWithParam<std::uint64_t>
{
    cell_policy_properties() : random(GetParam()) {}

    int random_int(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(random);
    }

    void add_random_fleet()
    {
        auto const workers = random_int(4, 14);
        for (int index = 0; index < workers; ++index)
            cluster.add_worker("r" + std::to_string(index / 3),
                               "d" + std::to_string(index / 6),
                               {64, 256'000, 1 << random_int(0, 3)});
        for (int attempt = 0; attempt < 12; ++attempt) {
            auto const previous_rules = cluster.rules;
            cluster.guarantee("c" + std::to_string(random_int(0, 3)),
                              {random_int(1, 2), 1 << random_int(0, 4),
                               static_cast<adjacency>(random_int(0, 3))});
            if (!core::is_ok(check_guarantees(cluster.rules, cluster.workers)))
                cluster.rules = previous_rules;
        }
    }

    void submit_random_jobs()
    {
        for (int count = random_int(0, 3); count > 0; --count) {
            auto const members =
                random_int(0, 3) == 0 ? 1 << random_int(1, 4) : 1;
            auto& job = cluster.submit(
                "c" + std::to_string(random_int(0, 4)), members,
                {random_int(1, 16), random_int(1, 64'000),
                 random_int(0, 2) == 0 ? 0 : random_int(1, 4)},
                static_cast<adjacency>(random_int(0, 3)),
                minutes(1 + random_int(0, 5) * random_int(0, 40)));
            job.kind = "k" + std::to_string(random_int(0, 2));
            job.is_urgent = random_int(0, 5) == 0;
            job.is_unrepeatable = random_int(0, 9) == 0;
        }
    }

    std::mt19937_64 random;
    cluster_simulator cluster;
};

// Guards against overcommitted workers, partially placed gangs, violated
// adjacency, eviction of non-borrowing or unrepeatable jobs (all checked by the
// simulator), and guarantees that evictions can no longer meet.
TEST_P(cell_policy_properties, keeps_guarantees_under_random_load)
{
    add_random_fleet();
    cell_policy policy(random_int(0, 1) == 0 ? completion_time_weights
                                             : fragmentation_weights);
    for (int round = 0; round < 400; ++round) {
        submit_random_jobs();
        cluster.step(policy);
        ASSERT_FALSE(HasFatalFailure());
        auto const status = check_reclaimable(cluster.view());
        ASSERT_TRUE(core::is_ok(status)) << core::failure(status).message;
    }
}

// Guards against guarantees that cannot be reclaimed in practice: after any
// load, customers request all their cells and must hold them after one round of
// evictions.
TEST_P(cell_policy_properties, reclaims_every_guaranteed_cell)
{
    add_random_fleet();
    cell_policy policy(completion_time_weights);
    for (int round = 0; round < 60; ++round) {
        for (int count = 0; count < 3; ++count)
            cluster.submit("borrower", 1, {2, 1000, random_int(0, 2)},
                           adjacency::any, minutes(random_int(60, 600)));
        cluster.step(policy);
    }
    std::vector<std::string> guaranteed_jobs;
    for (auto const& [customer, rule] : cluster.rules.customers) {
        for (auto const& shape : rule.guarantees) {
            for (int cell = 0; cell < shape.cells; ++cell)
                guaranteed_jobs.push_back(
                    cluster
                        .submit(customer, shape.accelerators_per_cell,
                                {1, 1000, 1}, shape.within, minutes(600))
                        .job_id);
        }
    }
    cluster.step(policy);
    cluster.step(policy);
    for (auto const& job_id : guaranteed_jobs)
        EXPECT_TRUE(cluster.is_running(job_id)) << job_id;
}

// Guards against starvation of a low-priority customer by a steady load of
// others.
TEST_P(cell_policy_properties, low_priority_job_does_not_starve)
{
    for (int index = 0; index < 4; ++index)
        cluster.add_worker("r0", "d0", {64, 256'000, 8});
    cluster.rules.customers["rich"].priority = 100;
    cell_policy policy(completion_time_weights);
    auto const low_priority_job =
        cluster.submit("poor", 4, {8, 1000, 4}, adjacency::rack, minutes(200))
            .job_id;
    for (int round = 0; round < 60 * 40 && cluster.is_pending(low_priority_job);
         ++round) {
        for (int count = 0; count < 2; ++count)
            cluster.submit("rich", 1, {4, 1000, random_int(1, 4)},
                           adjacency::any, minutes(random_int(10, 60)));
        cluster.step(policy);
    }
    EXPECT_FALSE(cluster.is_pending(low_priority_job));
}

// Guards against backfilled jobs that delay a large gang, even if they run far
// longer than observed before.
TEST_P(cell_policy_properties, backfill_does_not_delay_gang)
{
    auto const gang_start_time = [&](bool has_small_jobs) {
        std::mt19937_64 random(GetParam());
        cluster_simulator cluster;
        for (int index = 0; index < 3; ++index)
            cluster.add_worker("r0", "d0", {64, 256'000, 8});
        cell_policy policy(completion_time_weights);
        for (int index = 0; index < 24; ++index) {
            cluster.submit("early", 1, {4, 1000, 1}, adjacency::any,
                           minutes(30 + random() % 300));
        }
        cluster.step(policy);
        auto const gang =
            cluster
                .submit("late", 3, {32, 1000, 8}, adjacency::rack, minutes(60))
                .job_id;
        while (cluster.is_pending(gang)) {
            if (has_small_jobs)
                cluster.submit("small", 1, {2, 500, 1}, adjacency::any,
                               minutes(1 + random() % 900));
            cluster.step(policy);
        }
        return cluster.now();
    };
    // Stopping a backfilled job that is still running takes one step.
    EXPECT_LE(gang_start_time(true), gang_start_time(false) + minutes(1));
}

INSTANTIATE_TEST_SUITE_P(seeds, cell_policy_properties,
                         testing::Range<std::uint64_t>(1, 13));

} // namespace
} // namespace sequoiaroute::policy
