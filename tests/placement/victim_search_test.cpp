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
