#include "scheduler/run_time_estimator.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::scheduler {
namespace {

using namespace std::chrono_literals;

// Guards against a correction based on too few runs.
TEST(run_time_estimator_test, uses_the_estimate_until_enough_runs_ended)
{
    run_time_estimator estimator;
    EXPECT_EQ(estimator.expected_run_time("proofs", 3s), 3s);
    estimator.record("proofs", 3s, 9s);
    EXPECT_EQ(estimator.expected_run_time("proofs", 3s), 3s);
    EXPECT_EQ(estimator.expected_run_time("scans", 3s), 3s);
}

// The estimates are off by a fifth at most, and the run times vary widely.
TEST(run_time_estimator_test, trusts_accurate_estimates)
{
    run_time_estimator estimator;
    for (int round = 0; round < 5; ++round) {
        estimator.record("proofs", 1000ms, 1100ms);
        estimator.record("proofs", 8000ms, 7300ms);
    }
    EXPECT_NEAR(
        static_cast<double>(estimator.expected_run_time("proofs", 8s).count()),
        8000, 1200);
    EXPECT_NEAR(
        static_cast<double>(estimator.expected_run_time("proofs", 1s).count()),
        1000, 200);
}

// The estimates are off by a factor of three either way, while the run times
// are about the same.
TEST(run_time_estimator_test,
     uses_earlier_run_times_if_estimates_are_inaccurate)
{
    run_time_estimator estimator;
    for (int round = 0; round < 5; ++round) {
        estimator.record("checks", 800ms, 2500ms);
        estimator.record("checks", 7000ms, 2400ms);
    }
    EXPECT_NEAR(
        static_cast<double>(estimator.expected_run_time("checks", 12s).count()),
        2500, 700);
    EXPECT_NEAR(static_cast<double>(
                    estimator.expected_run_time("checks", 300ms).count()),
                2500, 700);
}

TEST(run_time_estimator_test, sums_the_steps_of_the_critical_path)
{
    jobs::submission job;
    job.parameters.queue = "proofs";
    job.spec.steps.resize(3);
    job.spec.steps[0].estimate = 2s;
    job.spec.steps[1].estimate = 5s;
    job.spec.steps[2].estimate = 1s;
    job.spec.steps[2].after = {0};
    run_time_estimator const estimator;
    EXPECT_EQ(estimator.expected_critical_path(job), 5s);
    job.spec.steps[2].after = {1};
    EXPECT_EQ(estimator.expected_critical_path(job), 6s);
}

} // namespace
} // namespace sequoiaroute::scheduler
