#include "scheduler/pending_notices.hpp"

#include "rows/row_layout.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::scheduler {
namespace {

constexpr auto decider = "10.0.0.1:7000";

job_change make_change(order_change::action_type action, bool is_urgent)
{
    job_change change;
    change.job_id = "j";
    change.is_urgent = is_urgent;
    jobs::run_order order;
    order.run = {{"j", 0, 0, 0}, 1};
    order.agent = "10.0.0.9";
    change.orders.push_back({action, order, "test", "text"});
    return change;
}

rows::row_write written_order()
{
    auto const run = to_text(jobs::run_id{{"j", 0, 0, 0}, 1});
    return {rows::layout::order_row("10.0.0.9", run), "text"};
}

class pending_notices_test : public testing::Test
{
public:
    std::map<std::string, notices::row_notice>
    take_notices(rows::row_write const& written)
    {
        return pending.take_notices(std::span(&written, 1), 7, decider,
                                    entries);
    }

    std::vector<std::string> const entries{"10.0.0.2:7000", "10.0.0.3:7000"};
    pending_notices pending;
};

// Guards against urgent starts that are delayed until the agent's next read of
// the store.
TEST_F(pending_notices_test, sends_an_urgent_start_order_to_its_agent)
{
    auto const change = make_change(order_change::action_type::start, true);
    pending.add(std::span(&change, 1));
    auto const notices = take_notices(written_order());
    ASSERT_EQ(notices.size(), 1U);
    auto const& [address, notice] = *notices.begin();
    EXPECT_EQ(address, "10.0.0.9:7000");
    EXPECT_EQ(notice.decider_address, decider);
    ASSERT_EQ(notice.rows.size(), 1U);
    EXPECT_EQ(notice.rows[0].version, 7);
    EXPECT_EQ(notice.rows[0].value, "text");
}

// Guards against notices for all work, which would cost more than they save.
TEST_F(pending_notices_test, sends_no_notice_for_a_non_urgent_start)
{
    auto const change = make_change(order_change::action_type::start, false);
    pending.add(std::span(&change, 1));
    EXPECT_TRUE(take_notices(written_order()).empty());
}

// Guards against urgent work that waits for resources because the stop of a
// non-urgent run reaches its agent late.
TEST_F(pending_notices_test, sends_every_stop_order)
{
    auto const change = make_change(order_change::action_type::stop, false);
    pending.add(std::span(&change, 1));
    EXPECT_EQ(take_notices(written_order()).size(), 1U);
}

// Guards against a row that is sent twice.
TEST_F(pending_notices_test, sends_each_row_once)
{
    auto const change = make_change(order_change::action_type::stop, false);
    pending.add(std::span(&change, 1));
    EXPECT_EQ(take_notices(written_order()).size(), 1U);
    EXPECT_TRUE(take_notices(written_order()).empty());
}

// Guards against a delay in the final state of an urgent job for a client that
// is connected to another entry.
TEST_F(pending_notices_test, sends_the_end_of_an_urgent_job_to_all_entries)
{
    job_change change;
    change.job_id = "j";
    change.is_urgent = true;
    change.has_just_finished = true;
    pending.add(std::span(&change, 1));
    auto const notices =
        take_notices({rows::layout::progress_row("j"), "done"});
    EXPECT_EQ(notices.size(), 2U);
}

} // namespace
} // namespace sequoiaroute::scheduler
