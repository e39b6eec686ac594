#include "workers/table_start_permits.hpp"

#include "support/memory_table.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::workers {
namespace {

using core::result_code;

/// A table that can lose the answers to commits and fail reads.
class unreliable_table final : public platform::table
{
public:
    core::result<platform::row> read(std::string_view key) override
    {
        if (is_unreadable ||
            (loses_answers && commits > 0 && fails_reads_after_commit))
            return core::error{result_code::store_unavailable, "down"};
        return rows.read(key);
    }
    core::result<std::vector<platform::row>>
    scan(std::string_view prefix) override
    {
        return rows.scan(prefix);
    }
    core::status commit(std::span<platform::row_condition const> conditions,
                        std::span<platform::row_write const> writes) override
    {
        ++commits;
        auto outcome = rows.commit(conditions, writes);
        if (loses_answers)
            return core::error{result_code::write_unknown, "answer lost"};
        return outcome;
    }

    support::memory_table rows;
    bool loses_answers = false; ///< commits take effect nevertheless
    bool is_unreadable = false; ///< read() always fails
    /// With loses_answers, read() fails after the first commit.
    bool fails_reads_after_commit = false;
    int commits = 0;
};

class table_start_permits_test : public testing::Test
{
protected:
    void SetUp() override { claim(1); }

    void claim(int attempt)
    {
        platform::recovering_writer entry(table_.rows, {"entry-1"});
        platform::row_write const write{
            "requests/c1/r1",
            core::json{{"state", "claimed"}, {"attempt", attempt}}};
        ASSERT_TRUE(is_ok(entry.write({}, {&write, 1})));
    }

    std::string state()
    {
        auto const row = writer_.read("requests/c1/r1");
        return value(row).value.at("state");
    }

    unreliable_table table_;
    platform::recovering_writer writer_{
        table_, {"agent-1", core::duration(200), core::duration(5)}};
    table_start_permits permits_{writer_, "agent-1"};
    request_attempt attempt_{"c1", "r1", "a1", 1};
};

TEST_F(table_start_permits_test, starts_and_finishes_a_claimed_request)
{
    EXPECT_TRUE(is_ok(permits_.acquire(attempt_)));
    EXPECT_EQ(state(), "started");
    EXPECT_TRUE(is_ok(permits_.record_outcome(attempt_, {})));
    EXPECT_EQ(state(), "finished");
    EXPECT_TRUE(is_ok(permits_.record_outcome(attempt_, {})));
}

// Guards against a second start, by a repeated dispatch after the agent was
// replaced or by an attempt that a recovering entry has fenced.
TEST_F(table_start_permits_test, second_or_fenced_attempt_gets_no_permit)
{
    ASSERT_TRUE(is_ok(permits_.acquire(attempt_)));
    table_start_permits replacement(writer_, "agent-2");
    EXPECT_EQ(code_of(replacement.acquire(attempt_)),
              result_code::refused_not_run);
    claim(2);
    EXPECT_EQ(code_of(permits_.acquire(attempt_)),
              result_code::refused_not_run);
    EXPECT_EQ(state(), "claimed");
}

// Guards against treating the write of a permit as failed because its answer
// was lost.
TEST_F(table_start_permits_test, lost_answer_is_recovered_as_own_write)
{
    table_.loses_answers = true;
    EXPECT_TRUE(is_ok(permits_.acquire(attempt_)));
    EXPECT_EQ(state(), "started");
}

// Guards against reporting a request as not run while its row may be started.
TEST_F(table_start_permits_test, unreadable_outcome_is_never_not_run)
{
    table_.loses_answers = true;
    table_.fails_reads_after_commit = true;
    EXPECT_EQ(code_of(permits_.acquire(attempt_)),
              result_code::outcome_unknown);
}

TEST_F(table_start_permits_test, table_down_before_the_write_is_not_run)
{
    table_.is_unreadable = true;
    EXPECT_EQ(code_of(permits_.acquire(attempt_)),
              result_code::not_run_store_unavailable);
    EXPECT_EQ(table_.commits, 0);
}

TEST_F(table_start_permits_test, reverted_request_can_be_claimed_again)
{
    ASSERT_TRUE(is_ok(permits_.acquire(attempt_)));
    EXPECT_TRUE(is_ok(permits_.revert_to_claimed(attempt_)));
    EXPECT_EQ(state(), "claimed");
}

} // namespace
} // namespace sequoiaroute::workers
