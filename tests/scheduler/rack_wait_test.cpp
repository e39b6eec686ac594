#include "scheduler/rack_wait.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::scheduler {
namespace {

using namespace std::chrono_literals;

constexpr locality_limits limits{3, 10s};

rack_waiter make_waiter(core::duration run_time)
{
    rack_waiter waiter;
    waiter.run_time = run_time;
    return waiter;
}

TEST(rack_wait, is_worth_what_the_tasks_lose_elsewhere)
{
    auto const wait = limit_rack_wait(make_waiter(4s), limits);
    EXPECT_EQ(wait.busy, 8s);
    EXPECT_EQ(wait.idle, 8s);
}

// Guards against a step that is never placed because its wait exceeds the
// longest duration.
TEST(rack_wait, is_bounded_for_unknown_run_times)
{
    auto const wait =
        limit_rack_wait(make_waiter(core::duration::max()), limits);
    EXPECT_EQ(wait.busy, core::duration::max());
    EXPECT_EQ(wait.idle, 10s);
}

// Guards against a job that is not started beside idle workers for longer than
// customers are promised.
TEST(rack_wait, ends_beside_an_idle_service)
{
    auto waiter = make_waiter(20s);
    waiter.job_age = 7s;
    waiter.waited = 7s;
    EXPECT_EQ(limit_rack_wait(waiter, limits).idle, 3s);
    EXPECT_EQ(limit_rack_wait(waiter, limits).busy, 40s);
    waiter.job_age = 30s;
    EXPECT_EQ(limit_rack_wait(waiter, limits).idle, 0s);
}

// A later step of a long job becomes due. Guards against a start elsewhere
// although its rack is free in a moment.
TEST(rack_wait, is_short_for_the_next_step_of_an_old_job)
{
    auto waiter = make_waiter(20s);
    waiter.job_age = 60s;
    EXPECT_EQ(limit_rack_wait(waiter, limits).idle, 2s);
}

// Guards against the last tasks of a wide step that run elsewhere, and hold up
// the job, although it makes progress.
TEST(rack_wait, is_longer_while_other_tasks_of_the_job_run)
{
    auto waiter = make_waiter(20s);
    waiter.job_age = 30s;
    waiter.waited = 10s;
    waiter.has_running_tasks = true;
    EXPECT_EQ(limit_rack_wait(waiter, limits).idle, 30s);
    waiter.waited = 50s;
    EXPECT_EQ(limit_rack_wait(waiter, limits).idle, 0s);
}

TEST(rack_wait, is_none_for_work_that_has_to_start)
{
    auto lasting = make_waiter(core::duration::max());
    lasting.is_long_running = true;
    EXPECT_EQ(limit_rack_wait(lasting, limits).busy, 0s);
    auto guaranteed = make_waiter(4s);
    guaranteed.is_guaranteed = true;
    EXPECT_EQ(limit_rack_wait(guaranteed, limits).busy, 8s);
    guaranteed.waited = 1600ms;
    EXPECT_EQ(limit_rack_wait(guaranteed, limits).busy, 0s);
}

} // namespace
} // namespace sequoiaroute::scheduler
