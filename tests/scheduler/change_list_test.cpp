#include "scheduler/change_list.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::scheduler {
namespace {

constexpr auto start = order_change::action_type::start;

class change_list_test : public testing::Test
{
public:
    change_list_test()
    {
        auto& job = jobs["j"];
        job.submission.job_id = "j";
        job.progress.occurrences[0].steps.resize(1);
        job.progress.occurrences[0].steps[0].resize(300);
    }

    /// Orders the next task, then records its run number in the progress.
    void order_task(std::size_t payload_bytes = 10)
    {
        jobs::run_order order;
        order.agent = "a";
        order.run = {{"j", 0, 0, next_index}, 1};
        order.payload = std::string(payload_bytes, 'x');
        changes.add_order(jobs.at("j"), start, order, {});
        auto& step = jobs.at("j").progress.occurrences[0].steps[0];
        step[static_cast<std::size_t>(next_index)].last_run = 1;
        ++next_index;
    }

    /// @return how many tasks have a run according to the progress of a change
    static std::size_t numbered_runs(job_change const& change)
    {
        std::size_t count = 0;
        for (auto const& task : change.progress.occurrences.at(0).steps[0])
            count += task.last_run > 0 ? 1 : 0;
        return count;
    }

    job_map jobs;
    change_list changes;
    std::int32_t next_index = 0;
};

// Guards against orders that are stored without the progress that belongs to
// them, so that their tasks run again after a takeover.
TEST_F(change_list_test, gives_each_change_the_progress_of_its_orders)
{
    for (int count = 0; count < 200; ++count)
        order_task();
    auto const taken = changes.take_changes(jobs);
    std::size_t orders = 0;
    for (auto const& change : taken) {
        EXPECT_LE(change.orders.size(), max_orders_per_change);
        orders += change.orders.size();
        EXPECT_EQ(numbered_runs(change), orders);
    }
    EXPECT_EQ(orders, 200U);
    EXPECT_EQ(taken.size(), 3U);
    EXPECT_TRUE(changes.take_changes(jobs).empty());
}

// Guards against a transaction that the store refuses for its size.
TEST_F(change_list_test, limits_the_bytes_of_a_change)
{
    for (int count = 0; count < 30; ++count)
        order_task(30'000);
    for (auto const& change : changes.take_changes(jobs)) {
        std::size_t bytes = 0;
        for (auto const& order : change.orders)
            bytes += order.value.size();
        EXPECT_LE(bytes, max_order_bytes_per_change);
    }
}

// Guards against a gang of which only some members are ordered, if the decider
// ends between two transactions.
TEST_F(change_list_test, keeps_the_orders_of_a_gang_together)
{
    for (int count = 0; count < 60; ++count)
        order_task();
    changes.keep_together(jobs.at("j"), 40);
    for (int count = 0; count < 40; ++count)
        order_task();
    auto const taken = changes.take_changes(jobs);
    ASSERT_EQ(taken.size(), 2U);
    EXPECT_EQ(taken[1].orders.size(), 40U);
}

} // namespace
} // namespace sequoiaroute::scheduler
