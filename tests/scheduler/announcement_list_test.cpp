#include "scheduler/announcement_list.hpp"

#include "rows/row_layout.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::scheduler {
namespace {

constexpr auto decider = "10.0.0.1:7000";

job_change make_change(order_change::kind what, bool is_urgent)
{
    job_change change;
    change.job_id = "j";
    change.is_urgent = is_urgent;
    jobs::run_order order;
    order.run = {{"j", 0, 0, 0}, 1};
    order.agent = "10.0.0.9";
    change.orders.push_back({what, order, "test"});
    return change;
}

rows::row_write written_order()
{
    auto const run = to_text(jobs::run_id{{"j", 0, 0, 0}, 1});
    return {rows::layout::order_row("10.0.0.9", run), "text"};
}

class announcement_list_test : public testing::Test
{
public:
    std::map<std::string, notices::row_notice>
    take(rows::row_write const& written)
    {
        return list.take(std::span(&written, 1), 7, decider, entries);
    }

    std::vector<std::string> const entries{"10.0.0.2:7000", "10.0.0.3:7000"};
    announcement_list list;
};

// Guards against urgent work that waits for the agent's next reading of the
// store.
TEST_F(announcement_list_test, tells_the_agent_of_an_urgent_order)
{
    auto const change = make_change(order_change::kind::start, true);
    list.add(std::span(&change, 1));
    auto const notices = take(written_order());
    ASSERT_EQ(notices.size(), 1U);
    auto const& [address, notice] = *notices.begin();
    EXPECT_EQ(address, "10.0.0.9:7000");
    EXPECT_EQ(notice.decider_address, decider);
    ASSERT_EQ(notice.rows.size(), 1U);
    EXPECT_EQ(notice.rows[0].version, 7);
    EXPECT_EQ(notice.rows[0].value, "text");
}

// Guards against notices for all work, which cost more than they gain.
TEST_F(announcement_list_test, leaves_patient_orders_to_the_store)
{
    auto const change = make_change(order_change::kind::start, false);
    list.add(std::span(&change, 1));
    EXPECT_TRUE(take(written_order()).empty());
}

// Guards against urgent work that waits for room which patient work leaves
// late.
TEST_F(announcement_list_test, tells_of_each_stop)
{
    auto const change = make_change(order_change::kind::stop, false);
    list.add(std::span(&change, 1));
    EXPECT_EQ(take(written_order()).size(), 1U);
}

// Guards against a row that is announced twice.
TEST_F(announcement_list_test, forgets_what_was_announced)
{
    auto const change = make_change(order_change::kind::stop, false);
    list.add(std::span(&change, 1));
    EXPECT_EQ(take(written_order()).size(), 1U);
    EXPECT_TRUE(take(written_order()).empty());
}

// Guards against a caller that asks another entry and waits for the end of an
// urgent job.
TEST_F(announcement_list_test, tells_all_entries_of_an_urgent_end)
{
    job_change change;
    change.job_id = "j";
    change.is_urgent = true;
    change.has_just_finished = true;
    list.add(std::span(&change, 1));
    auto const notices = take({rows::layout::progress_row("j"), "done"});
    EXPECT_EQ(notices.size(), 2U);
}

} // namespace
} // namespace sequoiaroute::scheduler
