#include "scheduler/run_statistics.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::scheduler {
namespace {

using namespace std::chrono_literals;

class run_statistics_test : public testing::Test
{
public:
    run_statistics_test()
    {
        job.submission.parameters.queue = "q";
        job.submission.spec.steps.resize(1);
        job.submission.spec.steps[0].estimate = 10s;
        run.order.agent = "a";
        run.order.run = {{"j", 0, 0, 0}, 1};
        run.ordered_at = core::time_point(100s);
    }

    /// @return the expected run time after many runs that took a second
    core::duration expected_after_short_runs()
    {
        for (int count = 0; count < 50; ++count)
            statistics.observe_success(job, run, run.ordered_at + 1s);
        return statistics.run_times.expected_run_time("q", 10s);
    }

    open_job job;
    assignment run;
    run_statistics statistics;
};

TEST_F(run_statistics_test, learns_the_run_times_of_a_queue)
{
    EXPECT_LT(expected_after_short_runs(), 5s);
}

// Guards against run times that seem far too short after a takeover, because
// they are counted from it.
TEST_F(run_statistics_test, ignores_runs_of_an_earlier_decider)
{
    run.is_restored = true;
    EXPECT_EQ(expected_after_short_runs(), 10s);
}

} // namespace
} // namespace sequoiaroute::scheduler
