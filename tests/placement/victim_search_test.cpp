#include "placement/victim_search.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <string>

namespace sequoiaroute::placement {
namespace {

constexpr jobs::resources one_accelerator{1000, 1000, 1};

std::vector<worker> make_fleet(std::size_t count)
{
    std::vector<worker> fleet(count);
    for (std::size_t index = 0; index < count; ++index) {
        fleet[index].agent = "agent-" + std::to_string(index);
        fleet[index].service = "s";
        fleet[index].rack = "r" + std::to_string(index / 10);
        fleet[index].capacity = {128'000, 512'000, 8};
    }
    return fleet;
}

worker_scope whole_scope(std::size_t count)
{
    worker_scope scope(count);
    for (std::size_t index = 0; index < count; ++index)
        scope[index] = index;
    return scope;
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

// Guards against work that is thrown away for nothing: the cheapest victims
// come first, and those that a later one makes needless are spared.
TEST(victim_search, spares_victims_that_are_not_needed)
{
    auto fleet = make_fleet(2);
    fleet[0].free_after_stops = {128'000, 512'000, 0};
    fleet[1].free_after_stops = {128'000, 512'000, 1};
    std::vector<victim> const running{make_victim(0, 10), make_victim(1, 30)};
    auto const found =
        find_victims(fleet, whole_scope(2), make_gang(1, 2), running);
    ASSERT_TRUE(found);
    EXPECT_EQ(found->victims, (std::vector<std::size_t>{1}));
    EXPECT_EQ(found->loss_core_seconds, 30);
}

TEST(victim_search, stops_nothing_where_it_does_not_help)
{
    auto fleet = make_fleet(1);
    fleet[0].free_after_stops = {128'000, 512'000, 0};
    auto const gang = make_gang(1, 2);
    std::vector<victim> running{make_victim(0, 10)};
    EXPECT_FALSE(find_victims(fleet, whole_scope(1), gang, running));
    running.push_back(make_victim(0, 10, 0));
    EXPECT_FALSE(find_victims(fleet, whole_scope(1), gang, running));
    running.push_back(make_victim(0, 10));
    running.back().is_stopped = true;
    EXPECT_FALSE(find_victims(fleet, whole_scope(1), gang, running));
}

// Load: 62 workers are full of small tasks, and a gang of ten whole workers
// arrives. Guards against a decider that needs half a second of its eighth of a
// core for one gang, so that a burst of them waits for seconds.
TEST(victim_search, finds_room_for_a_wide_gang_in_a_full_fleet_quickly)
{
    constexpr std::size_t workers = 62;
    auto fleet = make_fleet(workers);
    std::vector<victim> running;
    for (std::size_t index = 0; index < workers; ++index) {
        fleet[index].free_after_stops = {120'000, 500'000, 0};
        for (std::size_t task = 0; task < 8; ++task) {
            running.push_back(make_victim(
                index, static_cast<double>(task * workers + index)));
        }
    }
    auto least = std::clock_t{CLOCKS_PER_SEC};
    for (int round = 0; round < 3; ++round) {
        auto const begin = std::clock();
        auto const found = find_victims(fleet, whole_scope(workers),
                                        make_gang(10, 8), running);
        least = std::min(least, std::clock() - begin);
        ASSERT_TRUE(found);
        EXPECT_EQ(found->victims.size(), 80U);
    }
    // 5 ms are 40 ms on an eighth of a core.
    EXPECT_LT(least * 1000 / CLOCKS_PER_SEC, 5);
}

} // namespace
} // namespace sequoiaroute::placement
