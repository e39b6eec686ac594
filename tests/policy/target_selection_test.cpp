#include "policy/overload_estimate.hpp"
#include "policy/target_selection.hpp"

#include <gtest/gtest.h>

#include <set>

#include <absl/random/random.h>

namespace sequoiaroute::policy {
namespace {

executor_view executor(std::string id, int free_slots)
{
    return {.target_id = std::move(id),
            .data_centre = "north",
            .service = "proofs",
            .slots = 8,
            .free_slots = free_slots};
}

std::set<std::size_t>
selected_indexes(std::vector<executor_view> const& executors,
                 std::vector<std::string> const& excluded = {})
{
    target_selection const selection("north");
    absl::BitGen random;
    std::set<std::size_t> indexes;
    for (int round = 0; round < 200; ++round) {
        auto const index =
            selection.select(executors, "proofs", excluded, random);
        if (index)
            indexes.insert(*index);
    }
    return indexes;
}

// Guards against selecting a target that is leaving, suspect, full, of another
// service or already tried.
TEST(target_selection, skips_unusable_targets)
{
    std::vector<executor_view> executors(6, executor("usable", 1));
    executors[0].is_leaving = true;
    executors[1].is_suspect = true;
    executors[2].free_slots = 0;
    executors[3].service = "scans";
    executors[4].target_id = "tried";
    EXPECT_EQ(selected_indexes(executors, {"tried"}), std::set<std::size_t>{5});
}

// Guards against entries with the same view that all select the same target,
// and against selecting the most loaded target.
TEST(target_selection, avoids_the_most_loaded_target)
{
    std::vector<executor_view> const executors{
        executor("a", 7), executor("b", 8), executor("c", 1)};
    EXPECT_EQ(selected_indexes(executors), (std::set<std::size_t>{0, 1}));
}

// Guards against sending requests to another data centre without need, which
// adds latency.
TEST(target_selection, prefers_own_data_centre_while_it_has_slots)
{
    std::vector<executor_view> executors{executor("a", 1), executor("b", 8)};
    executors[1].data_centre = "south";
    EXPECT_EQ(selected_indexes(executors), std::set<std::size_t>{0});
    executors[0].free_slots = 0;
    EXPECT_EQ(selected_indexes(executors), std::set<std::size_t>{1});
}

// Guards against accepting requests that would wait until their deadline.
TEST(overload_estimate, refuses_beyond_slots_and_queue)
{
    std::vector<executor_view> const executors{executor("a", 2),
                                               executor("b", -3)};
    EXPECT_EQ(overload_estimate::remaining_capacity(executors, "proofs", 0),
              18);
    EXPECT_FALSE(overload_estimate::refusal(executors, "proofs", 17));
    auto const refusal = overload_estimate::refusal(executors, "proofs", 18);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->error.code, core::result_code::overloaded_not_run);
    EXPECT_GT(refusal->retry_after, core::duration(0));
    EXPECT_EQ(overload_estimate::refusal(executors, "scans", 0)->error.code,
              core::result_code::no_target_not_run);
}

} // namespace
} // namespace sequoiaroute::policy
