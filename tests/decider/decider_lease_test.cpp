#include "decider/decider_lease.hpp"

#include "support/commit_fault_table.hpp"
#include "support/manual_clock.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <utility>

namespace sequoiaroute::decider {
namespace {

using namespace std::chrono_literals;

/// A table whose next read takes time, and whose commits can be refused.
class slow_table final : public platform::table
{
public:
    explicit slow_table(platform::table& rows) : rows_(rows) {}

    core::result<platform::row> read(std::string_view key) override
    {
        if (before_read)
            std::exchange(before_read, nullptr)();
        return rows_.read(key);
    }
    core::result<std::vector<platform::row>>
    scan(std::string_view prefix) override
    {
        return rows_.scan(prefix);
    }
    core::status commit(std::span<platform::row_condition const> conditions,
                        std::span<platform::row_write const> writes) override
    {
        if (refuses_commits)
            return core::error{core::result_code::store_unavailable, "busy"};
        return rows_.commit(conditions, writes);
    }

    std::function<void()> before_read; ///< called once
    bool refuses_commits = false;

private:
    platform::table& rows_;
};

struct decider_lease_test : testing::Test
{
    /// Advances the clock in renewal periods while the given entries tick.
    void renew_for(core::duration span,
                   std::vector<decider_lease*> const& entries)
    {
        for (core::duration elapsed{}; elapsed < span; elapsed += 500ms) {
            clock.advance(500ms);
            for (auto* entry : entries)
                entry->tick();
        }
    }

    support::manual_clock clock;
    support::commit_fault_table table;
    platform::recovering_writer rows_a{
        table, {.incarnation = "a", .time_limit = 10ms, .retry_delay = 1ms}};
    platform::recovering_writer rows_b{
        table, {.incarnation = "b", .time_limit = 10ms, .retry_delay = 1ms}};
    decider_lease a{rows_a, clock, {"a", "a.1", "1:1", "", ""}};
    decider_lease b{rows_b, clock, {"b", "b.1", "2:2", "", ""}};
    /// An entry whose calls to the table can be disturbed.
    slow_table slow{table};
    platform::recovering_writer rows_c{
        slow, {.incarnation = "c", .time_limit = 10ms, .retry_delay = 1ms}};
    decider_lease c{rows_c, clock, {"c", "c.1", "3:3", "", ""}};
};

// Guards against a failed decider that is not replaced within 2.5 s.
TEST_F(decider_lease_test, is_taken_over_after_two_seconds_without_renewal)
{
    renew_for(1s, {&a, &b});
    EXPECT_EQ(a.state(), lease_state::holding);
    renew_for(1500ms, {&b});
    EXPECT_EQ(b.state(), lease_state::follower);
    renew_for(1s, {&b});
    EXPECT_EQ(b.state(), lease_state::holding);
    EXPECT_EQ(b.term(), 2U);
}

// Guards against a failed decider that is replaced later than 2.5 s after its
// last renewal because that and the expiry are noticed late.
TEST_F(decider_lease_test, is_taken_over_in_time_wherever_reads_fall)
{
    a.tick();
    auto const renewed_at = clock.now();
    // Each read comes as late as possible after what it has to notice.
    auto const step = decider_lease::check_period - 1ms;
    while (b.state() == lease_state::follower &&
           clock.now() < renewed_at + 5s) {
        clock.advance(step);
        b.tick();
    }
    EXPECT_EQ(b.state(), lease_state::holding);
    EXPECT_LE(clock.now() - renewed_at, 2500ms);
}

// Guards against a holder that writes the row with each check.
TEST_F(decider_lease_test, renews_once_per_renewal_period)
{
    a.tick();
    auto const acquired = core::value(rows_a.read(decider_lease::row_key));
    clock.advance(decider_lease::check_period);
    a.tick();
    auto const checked = core::value(rows_a.read(decider_lease::row_key));
    EXPECT_EQ(checked.version, acquired.version);
    clock.advance(decider_lease::renewal_period);
    a.tick();
    auto const renewed = core::value(rows_a.read(decider_lease::row_key));
    EXPECT_GT(renewed.version, acquired.version);
}

// Guards against a takeover while the holder renews its lease.
TEST_F(decider_lease_test, stays_with_a_holder_that_renews)
{
    renew_for(20s, {&a, &b});
    EXPECT_EQ(a.state(), lease_state::holding);
    EXPECT_EQ(b.state(), lease_state::follower);
    EXPECT_EQ(b.decider_address(), "1:1");
}

// Guards against a holder that was paused for longer than its lease and places
// work before it has read the lease row again.
TEST_F(decider_lease_test, paused_holder_places_nothing)
{
    renew_for(1s, {&a});
    clock.advance(2s);
    EXPECT_EQ(a.state(), lease_state::suspended);
    EXPECT_FALSE(a.fence().has_value());
    renew_for(3s, {&b});
    EXPECT_EQ(core::code_of(a.refresh_fence()), core::result_code::stale_term);
    EXPECT_EQ(a.state(), lease_state::follower);
}

// Guards against a change of the decider because the table was unavailable, and
// against placements during the outage.
TEST_F(decider_lease_test, holder_resumes_its_term_after_a_table_outage)
{
    renew_for(1s, {&a, &b});
    table.is_down = true;
    renew_for(60s, {&a, &b});
    EXPECT_EQ(a.state(), lease_state::suspended);
    EXPECT_EQ(b.state(), lease_state::follower);
    table.is_down = false;
    renew_for(1s, {&b, &a});
    EXPECT_EQ(a.state(), lease_state::holding);
    EXPECT_EQ(a.term(), 1U);
}

// Guards against a graceful stop after which no entry is the decider until the
// lease expires.
TEST_F(decider_lease_test, release_lets_another_entry_take_over_at_once)
{
    renew_for(1s, {&a, &b});
    a.release();
    renew_for(500ms, {&b});
    EXPECT_EQ(b.state(), lease_state::holding);
    EXPECT_EQ(b.term(), 2U);
}

// Guards against a holder that loses the lease after a short refusal of
// writes because it repeats a failed renewal only after a renewal period.
TEST_F(decider_lease_test, repeats_a_failed_renewal_at_the_next_check)
{
    c.tick();
    auto const acquired = core::value(rows_a.read(decider_lease::row_key));
    clock.advance(decider_lease::renewal_period);
    slow.refuses_commits = true;
    c.tick();
    slow.refuses_commits = false;
    clock.advance(decider_lease::check_period);
    c.tick();
    auto const renewed = core::value(rows_a.read(decider_lease::row_key));
    EXPECT_GT(renewed.version, acquired.version);
}

// Guards against two entries that hold the lease at the same time: the row is
// renewed while a follower waits for the answer to its read, and the follower
// counts its wait from the beginning of the read.
TEST_F(decider_lease_test, waits_from_the_answer_that_shows_a_renewal)
{
    a.tick();
    c.tick();
    clock.advance(500ms);
    slow.before_read = [this] {
        clock.advance(1s);
        a.tick();
    };
    c.tick();
    while (c.state() == lease_state::follower) {
        clock.advance(decider_lease::check_period);
        c.tick();
    }
    EXPECT_NE(a.state(), lease_state::holding);
}

} // namespace
} // namespace sequoiaroute::decider
