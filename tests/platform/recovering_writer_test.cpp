#include "platform/recovering_writer.hpp"
#include "support/memory_table.hpp"
#include "support/mock_table.hpp"

#include <array>
#include <chrono>

#include <gtest/gtest.h>

namespace sequoiaroute::platform {
namespace {

using namespace std::chrono_literals;
using core::result_code;
using support::memory_table;
using support::mock_table;
using testing::Invoke;
using testing::NiceMock;

core::error const response_lost{result_code::write_unknown, "lost"};
core::error const table_down{result_code::store_unavailable, "down"};

class recovering_writer_test : public testing::Test
{
protected:
    recovering_writer_test()
    {
        ON_CALL(mock_table_, read)
            .WillByDefault(Invoke(&memory_table_, &memory_table::read));
        ON_CALL(mock_table_, scan)
            .WillByDefault(Invoke(&memory_table_, &memory_table::scan));
        ON_CALL(mock_table_, commit)
            .WillByDefault(Invoke(&memory_table_, &memory_table::commit));
    }

    core::status write(std::uint64_t version, core::json value)
    {
        std::array const conditions{row_condition{"key", version}};
        std::array const writes{row_write{"key", std::move(value)}};
        return writer_.write(conditions, writes);
    }

    core::status write_as_other(core::json value)
    {
        std::array const writes{row_write{"key", std::move(value)}};
        return other_writer_.write({}, writes);
    }

    /// Applies the next commit, calls a function, and reports the response as
    /// lost.
    template <class Function>
    void lose_response_after(Function before_loss)
    {
        EXPECT_CALL(mock_table_, commit)
            .WillOnce([this, before_loss](auto conditions, auto writes) {
                EXPECT_TRUE(
                    core::is_ok(memory_table_.commit(conditions, writes)));
                before_loss();
                return core::status{response_lost};
            });
    }

    std::uint64_t version() { return core::value(writer_.read("key")).version; }
    core::json value() { return core::value(writer_.read("key")).value; }

    memory_table memory_table_;
    NiceMock<mock_table> mock_table_;
    recovering_writer writer_{mock_table_, {"own", 100ms, 1ms}};
    recovering_writer other_writer_{memory_table_, {"other", 100ms, 1ms}};
};

TEST_F(recovering_writer_test, reads_values_without_envelopes)
{
    EXPECT_TRUE(core::is_ok(write(0, {{"a", 1}})));
    EXPECT_EQ(value(), (core::json{{"a", 1}}));
    EXPECT_EQ(core::value(writer_.scan("k")).at(0).value,
              (core::json{{"a", 1}}));
    EXPECT_EQ(core::value(writer_.read("absent")).version, 0);
}

TEST_F(recovering_writer_test, reports_conflicts_and_stale_reads)
{
    EXPECT_TRUE(core::is_ok(write(0, 1)));
    EXPECT_EQ(core::code_of(write(0, 2)), result_code::conflict);
    EXPECT_EQ(core::code_of(write(version() + 1, 2)),
              result_code::store_unavailable);
    EXPECT_EQ(value(), 1);
}

// Guards against committing a write again that took effect, although the
// response was lost.
TEST_F(recovering_writer_test, recognises_own_write_after_lost_response)
{
    lose_response_after([] {});
    EXPECT_TRUE(core::is_ok(write(0, "mine")));
    EXPECT_EQ(value(), "mine");
}

TEST_F(recovering_writer_test, commits_again_if_write_did_not_take_effect)
{
    EXPECT_CALL(mock_table_, commit)
        .WillOnce(testing::Return(response_lost))
        .WillOnce(Invoke(&memory_table_, &memory_table::commit));
    EXPECT_TRUE(core::is_ok(write(0, "mine")));
    EXPECT_EQ(value(), "mine");
}

// Guards against reporting a conflict because another process has written the
// row after this write.
TEST_F(recovering_writer_test, recognises_own_write_after_later_one)
{
    lose_response_after(
        [this] { EXPECT_TRUE(core::is_ok(write_as_other("later"))); });
    EXPECT_TRUE(core::is_ok(write(0, "mine")));
    EXPECT_EQ(value(), "later");
}

TEST_F(recovering_writer_test, reports_conflict_if_other_write_came_first)
{
    ASSERT_TRUE(core::is_ok(write_as_other("before")));
    auto const version_before = version();
    EXPECT_CALL(mock_table_, commit).WillOnce([this](auto, auto) {
        EXPECT_TRUE(core::is_ok(write_as_other("first")));
        return core::status{response_lost};
    });
    EXPECT_EQ(core::code_of(write(version_before, "mine")),
              result_code::conflict);
    EXPECT_EQ(value(), "first");
}

// Guards against reporting that a write did not take effect after so many later
// writes that its token was dropped from the row.
TEST_F(recovering_writer_test, reports_unknown_if_token_may_have_been_dropped)
{
    lose_response_after([this] {
        for (int count = 0; count < 8; ++count)
            EXPECT_TRUE(core::is_ok(write_as_other(count)));
    });
    EXPECT_EQ(core::code_of(write(0, "mine")), result_code::write_unknown);
}

TEST_F(recovering_writer_test, reports_unknown_if_row_was_deleted)
{
    lose_response_after([this] {
        std::array const writes{row_write{"key", std::nullopt}};
        EXPECT_TRUE(core::is_ok(other_writer_.write({}, writes)));
    });
    ASSERT_TRUE(core::is_ok(write_as_other("before")));
    EXPECT_EQ(core::code_of(write(version(), "mine")),
              result_code::write_unknown);
}

TEST_F(recovering_writer_test, reports_unknown_if_reads_fail_until_time_limit)
{
    EXPECT_CALL(mock_table_, commit).WillOnce(testing::Return(response_lost));
    EXPECT_CALL(mock_table_, read).WillRepeatedly(testing::Return(table_down));
    EXPECT_EQ(core::code_of(write(0, "mine")), result_code::write_unknown);
}

TEST_F(recovering_writer_test, reports_unknown_if_second_commit_is_refused)
{
    EXPECT_CALL(mock_table_, commit)
        .WillOnce(testing::Return(response_lost))
        .WillRepeatedly(testing::Return(table_down));
    EXPECT_EQ(core::code_of(write(0, "mine")), result_code::write_unknown);
}

// Guards against reporting a conflict when the first commit is delayed and
// takes effect after the row was read, so that the second commit conflicts with
// it.
TEST_F(recovering_writer_test, recognises_delayed_first_commit)
{
    EXPECT_CALL(mock_table_, commit)
        .WillOnce(testing::Return(response_lost))
        .WillOnce([this](auto conditions, auto writes) {
            EXPECT_TRUE(core::is_ok(memory_table_.commit(conditions, writes)));
            return memory_table_.commit(conditions, writes);
        });
    EXPECT_TRUE(core::is_ok(write(0, "mine")));
    EXPECT_EQ(value(), "mine");
}

// Guards against relying on a stale read, in which the row appears unchanged
// although the write took effect.
TEST_F(recovering_writer_test, tolerates_stale_reads)
{
    EXPECT_CALL(mock_table_, commit)
        .WillOnce([this](auto conditions, auto writes) {
            EXPECT_TRUE(core::is_ok(memory_table_.commit(conditions, writes)));
            return core::status{response_lost};
        })
        .WillRepeatedly(Invoke(&memory_table_, &memory_table::commit));
    row const absent{"key", 0, nullptr};
    EXPECT_CALL(mock_table_, read)
        .WillOnce(testing::Return(absent))
        .WillOnce(testing::Return(absent))
        .WillRepeatedly(Invoke(&memory_table_, &memory_table::read));
    EXPECT_TRUE(core::is_ok(write(0, "mine")));
    EXPECT_EQ(value(), "mine");
}

// Guards against a fenced writer that repeats its commit until the time limit.
TEST_F(recovering_writer_test, reports_conflict_of_row_that_is_only_a_condition)
{
    ASSERT_TRUE(core::is_ok(write_as_other("before")));
    std::array const conditions{row_condition{"key", version()},
                                row_condition{"fence", 0}};
    std::array const writes{row_write{"key", "mine"}};
    EXPECT_CALL(mock_table_, commit)
        .WillOnce([this](auto, auto) {
            std::array const fence{row_write{"fence", 1}};
            EXPECT_TRUE(core::is_ok(other_writer_.write({}, fence)));
            return core::status{response_lost};
        })
        .WillRepeatedly(Invoke(&memory_table_, &memory_table::commit));
    EXPECT_EQ(core::code_of(writer_.write(conditions, writes)),
              result_code::conflict);
    EXPECT_EQ(value(), "before");
}

TEST_F(recovering_writer_test, recognises_own_deletion_after_lost_response)
{
    ASSERT_TRUE(core::is_ok(write_as_other("before")));
    std::array const conditions{row_condition{"key", version()}};
    std::array const writes{row_write{"key", std::nullopt}};
    lose_response_after([] {});
    EXPECT_TRUE(core::is_ok(writer_.write(conditions, writes)));
    EXPECT_EQ(version(), 0);
}

} // namespace
} // namespace sequoiaroute::platform
