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

// Guards against a queue whose tasks seem to take longer because some ran away
// from their data.
TEST_F(run_statistics_test, learns_run_times_as_near_the_data)
{
    run.run_time_factor = 3;
    for (int count = 0; count < 50; ++count)
        statistics.observe_success(job, run, run.ordered_at + 30s);
    EXPECT_EQ(statistics.run_times.expected_run_time("q", 10s), 10s);
}

// Guards against a worker that seems slow because its runs are away from their
// data.
TEST_F(run_statistics_test, learns_the_speed_of_workers_as_near_the_data)
{
    run.first_seen_at = core::time_point(100s);
    run.percent = 50;
    for (auto const* agent : {"a", "b", "c", "d", "e"}) {
        auto observed = run;
        observed.order.agent = agent;
        bool const is_remote = observed.order.agent == "e";
        observed.run_time_factor = is_remote ? 3 : 1;
        observed.last_seen_at =
            *observed.first_seen_at + (is_remote ? 15s : 5s);
        statistics.observe_progress(job, observed);
    }
    EXPECT_EQ(statistics.speed.slowness("e"), 0);
}

} // namespace
} // namespace sequoiaroute::scheduler
