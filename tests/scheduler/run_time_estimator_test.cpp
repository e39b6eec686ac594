#include "scheduler/run_time_estimator.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::scheduler {
namespace {

using namespace std::chrono_literals;

// Guards against a correction made from too little.
TEST(run_time_estimator_test, believes_customers_at_first)
{
    run_time_estimator estimator;
    EXPECT_EQ(estimator.expected("proofs", 3s), 3s);
    estimator.record("proofs", 3s, 9s);
    EXPECT_EQ(estimator.expected("proofs", 3s), 3s);
    EXPECT_EQ(estimator.expected("scans", 3s), 3s);
}

// Load: estimates of one queue are off by a fifth, and run times differ much.
TEST(run_time_estimator_test, keeps_to_estimates_that_were_good)
{
    run_time_estimator estimator;
    for (int round = 0; round < 5; ++round) {
        estimator.record("proofs", 1000ms, 1100ms);
        estimator.record("proofs", 8000ms, 7300ms);
    }
    EXPECT_NEAR(static_cast<double>(estimator.expected("proofs", 8s).count()),
                8000, 1200);
    EXPECT_NEAR(static_cast<double>(estimator.expected("proofs", 1s).count()),
                1000, 200);
}

// Load: estimates of the other queue are off by a factor of three either way,
// while its run times are about the same.
TEST(run_time_estimator_test, goes_by_earlier_runs_where_estimates_were_bad)
{
    run_time_estimator estimator;
    for (int round = 0; round < 5; ++round) {
        estimator.record("checks", 800ms, 2500ms);
        estimator.record("checks", 7000ms, 2400ms);
    }
    EXPECT_NEAR(static_cast<double>(estimator.expected("checks", 12s).count()),
                2500, 700);
    EXPECT_NEAR(
        static_cast<double>(estimator.expected("checks", 300ms).count()), 2500,
        700);
}

TEST(run_time_estimator_test, adds_the_steps_of_the_longest_chain)
{
    jobs::submission job;
    job.parameters.queue = "proofs";
    job.spec.steps.resize(3);
    job.spec.steps[0].estimate = 2s;
    job.spec.steps[1].estimate = 5s;
    job.spec.steps[2].estimate = 1s;
    job.spec.steps[2].after = {0};
    run_time_estimator const estimator;
    EXPECT_EQ(estimator.expected_chain(job), 5s);
    job.spec.steps[2].after = {1};
    EXPECT_EQ(estimator.expected_chain(job), 6s);
}

} // namespace
} // namespace sequoiaroute::scheduler
