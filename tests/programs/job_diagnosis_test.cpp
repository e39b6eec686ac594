#include "programs/job_diagnosis.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::programs {
namespace {

/// @return the events of a job of one task without delays
std::vector<job_event> normal_job()
{
    return {{0, "entry-1", "job_accepted", "", "stored", ""},
            {1, "entry-2", "job_queued", "", "", ""},
            {10, "entry-2", "run_ordered", "j.0.0.0/1", "", "a"},
            {25, "agent-1", "start_answered", "j.0.0.0/1", "done", ""},
            {2025, "agent-1", "run_end_listed", "j.0.0.0/1", "done", ""},
            {2040, "entry-2", "run_ended", "j.0.0.0/1", "done", "a"},
            {2040, "entry-2", "job_finished", "", "completed", ""}};
}

/// Adds a delay in milliseconds to an event and all later ones.
void delay_from(std::vector<job_event>& events, std::size_t first,
                std::int64_t delay)
{
    for (std::size_t index = first; index < events.size(); ++index)
        events[index].time_ms += delay;
}

// Guards against reporting a loss for a job without delays.
TEST(job_diagnosis, finds_no_loss_in_a_normal_job)
{
    EXPECT_TRUE(diagnose(normal_job()).empty());
}

TEST(job_diagnosis, finds_the_cause_of_a_delay)
{
    struct expectation
    {
        std::size_t delayed_event;
        std::string cause;
    };
    for (auto const& [delayed, cause] :
         {expectation{1, "no decider"},
          expectation{2, "waited for free resources"},
          expectation{3, "orders reached"},
          expectation{5, "its end was stored late"}}) {
        auto events = normal_job();
        delay_from(events, delayed, 1500);
        auto const losses = diagnose(events);
        ASSERT_EQ(losses.size(), 1U) << cause;
        EXPECT_GE(losses[0].lost_ms, 1500);
        EXPECT_NE(losses[0].cause.find(cause), std::string::npos)
            << losses[0].cause;
    }
}

// Guards against counting the lost run of a gang once for each member.
TEST(job_diagnosis, counts_a_lost_gang_run_once)
{
    std::vector<job_event> events{
        {0, "entry-1", "job_accepted", "", "stored", ""},
        {1, "entry-1", "job_queued", "", "", ""},
        {10, "entry-1", "run_ordered", "j.0.0.0/1", "", "a"},
        {10, "entry-1", "run_ordered", "j.0.0.1/1", "", "b"},
        {900, "entry-1", "run_stop_ordered", "j.0.0.0/1",
         "worker leaves before the end", "a"},
        {1400, "entry-1", "run_ended", "j.0.0.1/1", "broken", "b"},
        {1410, "entry-1", "run_ended", "j.0.0.0/1", "stopped", "a"},
    };
    auto const losses = diagnose(events);
    ASSERT_EQ(losses.size(), 1U);
    EXPECT_EQ(losses[0].lost_ms, 1400);
    EXPECT_EQ(losses[0].cause, "the work of a run on a was lost, stopped: "
                               "worker leaves before the end");
}

TEST(job_diagnosis, reports_refusals_before_acceptance)
{
    auto events = normal_job();
    delay_from(events, 0, 1200);
    events.insert(events.begin(),
                  {0, "entry-3", "job_refused", "", "the store", ""});
    auto const losses = diagnose(events);
    ASSERT_EQ(losses.size(), 1U);
    EXPECT_EQ(losses[0].lost_ms, 1200);
    EXPECT_TRUE(losses[0].cause.starts_with("refused 1 times"));
}

// Guards against missing the wait of one task that delays its whole job.
TEST(job_diagnosis, reports_the_wait_of_a_later_task)
{
    auto events = normal_job();
    events.insert(events.begin() + 4,
                  {1510, "entry-2", "run_ordered", "j.0.0.1/1", "", "b"});
    auto const losses = diagnose(events);
    ASSERT_EQ(losses.size(), 1U);
    EXPECT_EQ(losses[0].lost_ms, 1500);
    EXPECT_NE(losses[0].cause.find("a task waited"), std::string::npos);
}

} // namespace
} // namespace sequoiaroute::programs
