#include "decider/job_store.hpp"

#include "support/commit_fault_table.hpp"
#include "support/manual_clock.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::decider {
namespace {

using namespace std::chrono_literals;

platform::recovering_writer_options options(std::string name)
{
    return {
        .incarnation = std::move(name), .time_limit = 10ms, .retry_delay = 1ms};
}

struct job_store_test : testing::Test
{
    job_store_test()
    {
        lease.tick();
        policy::job_record record;
        record.job_id = "job";
        platform::row_write const write{job_key("job"), record};
        EXPECT_TRUE(core::is_ok(rows.write({}, {&write, 1})));
    }

    job_write make_write()
    {
        auto const job = core::value(jobs.read("job"));
        auto next = job.record;
        next.attempt = 1;
        return {job.row, next};
    }

    support::commit_fault_table table;
    support::manual_clock clock;
    support::manual_clock other_clock;
    platform::recovering_writer rows{table, options("a")};
    platform::recovering_writer other_rows{table, options("b")};
    decider_lease lease{rows, clock, {"a", "a.1", "1:1", "", ""}};
    decider_lease other{other_rows, other_clock, {"b", "b.1", "2:2", "", ""}};
    job_store jobs{rows, lease};
};

// Guards against a write of a lease holder that was paused between its check of
// the lease and the write. Its clock has not advanced, so only the table's
// check of the fence can refuse the write.
TEST_F(job_store_test, table_refuses_a_paused_holder)
{
    auto write = make_write();
    for (int count = 0; count < 6; ++count) {
        other.tick();
        other_clock.advance(500ms);
    }
    ASSERT_EQ(other.state(), lease_state::holding);
    ASSERT_EQ(lease.state(), lease_state::holding);
    EXPECT_EQ(core::code_of(jobs.commit(write)), core::result_code::stale_term);
    EXPECT_EQ(core::value(jobs.read("job")).record.attempt, 0U);
    EXPECT_EQ(lease.state(), lease_state::follower);
}

// Guards against a write that fails because the lease was renewed between its
// preparation and its commit.
TEST_F(job_store_test, lease_renewal_is_not_a_conflict)
{
    auto write = make_write();
    decider_lease renewing(other_rows, clock, {"a", "a.1", "1:1", "", ""});
    renewing.tick();
    EXPECT_TRUE(core::is_ok(jobs.commit(write)));
    EXPECT_EQ(core::value(jobs.read("job")).record.attempt, 1U);
}

// Guards against a write that overwrites the change of another entry.
TEST_F(job_store_test, change_of_another_entry_is_a_conflict)
{
    auto write = make_write();
    auto changed = write.next;
    changed.is_cancel_requested = true;
    platform::row_write const cancel{job_key("job"), changed};
    ASSERT_TRUE(core::is_ok(other_rows.write({}, {&cancel, 1})));
    EXPECT_EQ(core::code_of(jobs.commit(write)), core::result_code::conflict);
    EXPECT_TRUE(core::value(jobs.read("job")).record.is_cancel_requested);
}

} // namespace
} // namespace sequoiaroute::decider
