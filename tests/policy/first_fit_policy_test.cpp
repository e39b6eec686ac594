#include "policy/first_fit_policy.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiaroute::policy {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;

worker_view worker(std::string id, std::string rack, int free_accelerators)
{
    return {.worker_id = std::move(id),
            .data_centre = "a",
            .rack = std::move(rack),
            .total = {64, 1000, 8},
            .free = {64, 1000, free_accelerators}};
}

job_view job(std::string id, int members, int accelerators, adjacency within)
{
    job_view job;
    job.job_id = std::move(id);
    job.customer = "press";
    job.member = {1, 1, accelerators};
    job.members = members;
    job.within = within;
    return job;
}

struct first_fit : testing::Test
{
    decision decide()
    {
        return policy.decide({workers, pending, running, rules}, {});
    }

    std::vector<worker_view> workers;
    std::vector<job_view> pending;
    std::vector<running_job_view> running;
    rule_set rules;
    first_fit_policy policy;
};

// Guards against spreading a gang beyond its requested scope.
TEST_F(first_fit, keeps_gang_within_its_group)
{
    workers = {worker("w0", "r0", 2), worker("w1", "r1", 1),
               worker("w2", "r1", 2)};
    pending = {job("gang", 3, 1, adjacency::rack)};
    auto const decision = decide();
    ASSERT_EQ(decision.placements.size(), 1U);
    EXPECT_THAT(decision.placements[0].members, ElementsAre(1, 2, 2));
}

// Guards against placing only some members of a gang, and against notes with a
// wrong number of jobs ahead.
TEST_F(first_fit, waits_until_all_members_fit)
{
    workers = {worker("w0", "r0", 3)};
    pending = {job("first", 4, 1, adjacency::worker),
               job("second", 8, 1, adjacency::worker),
               job("third", 4, 1, adjacency::worker),
               job("small", 1, 1, adjacency::any)};
    auto const decision = decide();
    ASSERT_EQ(decision.placements.size(), 1U);
    EXPECT_EQ(decision.placements[0].job_id, "small");
    ASSERT_EQ(decision.notes.size(), 3U);
    EXPECT_EQ(decision.notes[2].text,
              "waiting for 4 adjacent accelerators; two jobs are ahead");
}

// Guards against placing two jobs of one round on the same resources.
TEST_F(first_fit, deducts_resources_allocated_in_same_round)
{
    workers = {worker("w0", "r0", 1)};
    pending = {job("one", 1, 1, adjacency::any),
               job("two", 1, 1, adjacency::any)};
    auto const decision = decide();
    EXPECT_EQ(decision.placements.size(), 1U);
    EXPECT_EQ(decision.notes.size(), 1U);
}

// Guards against a job that waits forever because no worker is large enough,
// and against rejecting a job because a worker temporarily accepts no work.
TEST_F(first_fit, rejects_only_jobs_too_large_for_an_idle_fleet)
{
    workers = {worker("w0", "r0", 0), worker("w1", "r0", 8)};
    workers[0].accepts_work = false;
    pending = {job("huge", 1, 9, adjacency::any),
               job("wide", 16, 1, adjacency::rack)};
    auto const decision = decide();
    ASSERT_EQ(decision.rejections.size(), 1U);
    EXPECT_EQ(decision.rejections[0].job_id, "huge");
    EXPECT_THAT(decision.rejections[0].reason, HasSubstr("9 accelerators"));
    EXPECT_EQ(decision.notes.size(), 1U);
}

// Guards against retrying a job on the worker where it failed although another
// worker has enough free resources.
TEST_F(first_fit, prefers_workers_without_a_failed_attempt)
{
    workers = {worker("w0", "r0", 8), worker("w1", "r0", 8)};
    pending = {job("again", 1, 1, adjacency::any)};
    pending[0].avoided_workers = {"w0"};
    EXPECT_THAT(decide().placements[0].members, ElementsAre(1));
    workers.pop_back();
    EXPECT_THAT(decide().placements[0].members, ElementsAre(0));
}

// Guards against exceeding a customer's accelerator limit, and against a job
// above the limit that waits forever.
TEST_F(first_fit, honours_accelerator_limit)
{
    workers = {worker("w0", "r0", 8)};
    rules.customers["press"].limits.accelerators = 2;
    pending = {job("one", 2, 1, adjacency::any),
               job("two", 1, 1, adjacency::any),
               job("never", 3, 1, adjacency::any)};
    auto const decision = decide();
    EXPECT_EQ(decision.placements.size(), 1U);
    EXPECT_THAT(decision.notes[0].text, HasSubstr("holds 2 of 2"));
    EXPECT_EQ(decision.rejections[0].job_id, "never");
}

} // namespace
} // namespace sequoiaroute::policy
