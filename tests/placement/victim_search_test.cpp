#include "placement/victim_search.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <string>

namespace sequoiaroute::placement {
namespace {

constexpr jobs::resources one_accelerator{1000, 1000, 1};

std::vector<worker> make_workers(std::size_t count)
{
    std::vector<worker> workers(count);
    for (std::size_t index = 0; index < count; ++index) {
        workers[index].agent = "agent-" + std::to_string(index);
        workers[index].service = "s";
        workers[index].rack = "r" + std::to_string(index / 10);
        workers[index].capacity = {128'000, 512'000, 8};
    }
    return workers;
}

candidate_set all_candidates(std::size_t count)
{
    candidate_set candidates(count);
    for (std::size_t index = 0; index < count; ++index)
        candidates[index] = index;
    return candidates;
}

waiting_group make_gang(std::size_t count, std::int64_t accelerators)
{
    waiting_group gang;
    gang.service = "s";
    gang.is_gang = true;
    gang.count = count;
    gang.task = {1000, 1000, accelerators};
    return gang;
}

victim make_victim(std::size_t worker, double loss, std::int32_t priority = 2)
{
    return {{{worker, one_accelerator}}, priority, loss, false};
}

/// @return a victim of a job that would miss its objective if it were stopped
victim make_timely_victim(std::size_t worker, double loss, std::size_t job)
{
    auto result = make_victim(worker, loss);
    result.makes_job_late = true;
    result.job = job;
    return result;
}

// Urgent work arrives while other jobs are in time. Guards against making a job
// late for it although one that is late already, or has time to spare, could be
// stopped.
TEST(victim_search, spares_jobs_that_would_become_late)
{
    auto const workers = make_workers(2);
    std::vector<victim> const running{make_timely_victim(0, 10, 1),
                                      make_victim(1, 500)};
    auto const found =
        find_victims(workers, all_candidates(2), make_gang(1, 1), running);
    ASSERT_TRUE(found);
    EXPECT_EQ(found->victims, (std::vector<std::size_t>{1}));
    EXPECT_EQ(found->jobs_made_late, 0U);
}

TEST(victim_search, counts_each_job_that_becomes_late_once)
{
    auto const workers = make_workers(3);
    std::vector<victim> const running{make_timely_victim(0, 10, 1),
                                      make_timely_victim(1, 10, 1),
                                      make_timely_victim(2, 10, 2)};
    auto const found =
        find_victims(workers, all_candidates(3), make_gang(3, 1), running);
    ASSERT_TRUE(found);
    EXPECT_EQ(found->victims.size(), 3U);
    EXPECT_EQ(found->jobs_made_late, 2U);
}

// Urgent work is late already. Guards against making others late for it.
TEST(victim_search, makes_no_job_late_for_a_group_that_is_late)
{
    auto const workers = make_workers(2);
    std::vector<victim> const running{make_timely_victim(0, 10, 1),
                                      make_victim(1, 500)};
    auto gang = make_gang(2, 1);
    EXPECT_TRUE(find_victims(workers, all_candidates(2), gang, running));
    gang.may_make_jobs_late = false;
    EXPECT_FALSE(find_victims(workers, all_candidates(2), gang, running));
    gang.count = 1;
    EXPECT_TRUE(find_victims(workers, all_candidates(2), gang, running));
}

// Guards against a job that is stopped for urgent work again and again, and
// against a guarantee that is not kept because of that.
TEST(victim_search, spares_protected_jobs_unless_the_group_is_guaranteed)
{
    auto const workers = make_workers(1);
    std::vector<victim> running{make_victim(0, 10)};
    running[0].is_protected = true;
    auto gang = make_gang(1, 1);
    EXPECT_FALSE(find_victims(workers, all_candidates(1), gang, running));
    gang.is_guaranteed = true;
    EXPECT_TRUE(find_victims(workers, all_candidates(1), gang, running));
}

// Victims are chosen in order of their loss. Guards against stopping one that a
// later choice has made unnecessary.
TEST(victim_search, spares_victims_that_are_not_needed)
{
    auto workers = make_workers(2);
    workers[0].free_after_stops = {128'000, 512'000, 0};
    workers[1].free_after_stops = {128'000, 512'000, 1};
    std::vector<victim> const running{make_victim(0, 10), make_victim(1, 30)};
    auto const found =
        find_victims(workers, all_candidates(2), make_gang(1, 2), running);
    ASSERT_TRUE(found);
    EXPECT_EQ(found->victims, (std::vector<std::size_t>{1}));
    EXPECT_EQ(found->loss_core_seconds, 30);
}

TEST(victim_search, finds_no_victims_if_the_gang_still_does_not_fit)
{
    auto workers = make_workers(1);
    workers[0].free_after_stops = {128'000, 512'000, 0};
    auto const gang = make_gang(1, 2);
    std::vector<victim> running{make_victim(0, 10)};
    EXPECT_FALSE(find_victims(workers, all_candidates(1), gang, running));
    running.push_back(make_victim(0, 10, 0));
    EXPECT_FALSE(find_victims(workers, all_candidates(1), gang, running));
    running.push_back(make_victim(0, 10));
    running.back().is_stopped = true;
    EXPECT_FALSE(find_victims(workers, all_candidates(1), gang, running));
}

// 62 workers are full of small tasks when a gang of ten whole workers arrives.
// Guards against a search that takes half a second on the eighth of a core that
// the decider has, so that a burst of gangs waits for seconds.
TEST(victim_search, finds_victims_for_a_wide_gang_on_full_workers_quickly)
{
    constexpr std::size_t worker_count = 62;
    auto workers = make_workers(worker_count);
    std::vector<victim> running;
    for (std::size_t index = 0; index < worker_count; ++index) {
        workers[index].free_after_stops = {120'000, 500'000, 0};
        for (std::size_t task = 0; task < 8; ++task) {
            running.push_back(make_victim(
                index, static_cast<double>(task * worker_count + index)));
        }
    }
    auto min_time = std::clock_t{CLOCKS_PER_SEC};
    for (int round = 0; round < 3; ++round) {
        auto const begin = std::clock();
        auto const found = find_victims(workers, all_candidates(worker_count),
                                        make_gang(10, 8), running);
        min_time = std::min(min_time, std::clock() - begin);
        ASSERT_TRUE(found);
        EXPECT_EQ(found->victims.size(), 80U);
    }
    // 5 ms of CPU time take 40 ms on an eighth of a core.
    EXPECT_LT(min_time * 1000 / CLOCKS_PER_SEC, 5);
}

} // namespace
} // namespace sequoiaroute::placement
