#include "targets/claim_gate.hpp"

#include "support/manual_clock.hpp"
#include "support/request_mocks.hpp"
#include "support/unreliable_table.hpp"

#include <gtest/gtest.h>

#include <array>

namespace sequoiaroute::targets {
namespace {

using core::result_code;

/// Claims of two entries over one table.
struct request_claims_test : testing::Test
{
    request_claims_test() { directory.entries = {entry("one"), entry("two")}; }

    static peers::entry_record entry(std::string const& id)
    {
        peers::entry_record record;
        record.entry_id = id;
        return record;
    }

    request_claims claims_of(std::string const& entry_id)
    {
        return {{rows, directory, clock,
                 [this](core::duration time) {
                     clock.advance(time);
                     if (on_pause)
                         on_pause();
                 }},
                entry_id};
    }

    urgent_request request(std::string const& body_digest = "digest") const
    {
        return {.request_id = "r",
                .customer = "press",
                .service = "proofs",
                .body = "counted batch",
                .body_digest = body_digest,
                .is_unrepeatable = true,
                .deadline = clock.now() + core::duration(5000)};
    }

    void set_state(claim_state state)
    {
        auto row = core::value(rows.read("requests/press/r"));
        row.value["state"] = state;
        std::array const writes{platform::row_write{row.key, row.value}};
        ASSERT_TRUE(core::is_ok(rows.write({}, writes)));
    }

    request_claim stored()
    {
        return core::value(one.read("press", "r")).value();
    }

    support::unreliable_table table;
    platform::recovering_writer rows{
        table, {"incarnation", core::duration(200), core::duration(1)}};
    support::fixed_directory directory;
    support::manual_clock clock;
    std::function<void()> on_pause;
    request_claims one = claims_of("one");
    request_claims two = claims_of("two");
};

// Guards against a second start of a request that was started before.
TEST_F(request_claims_test, refuses_started_and_finished_requests)
{
    EXPECT_TRUE(core::is_ok(one.claim(request(), "a1", "t")));
    set_state(claim_state::started);
    EXPECT_EQ(core::code_of(two.claim(request(), "a2", "t")),
              result_code::still_running);
    set_state(claim_state::finished);
    EXPECT_EQ(core::code_of(two.claim(request(), "a2", "t")),
              result_code::still_running);
    set_state(claim_state::failed);
    EXPECT_EQ(core::code_of(two.claim(request(), "a2", "t")),
              result_code::execution_failed);
    EXPECT_EQ(stored().attempt_id, "a1");
}

// Guards against an answer for another body under the same request id.
TEST_F(request_claims_test, refuses_other_body_under_same_id)
{
    EXPECT_TRUE(core::is_ok(one.claim(request(), "a1", "t")));
    EXPECT_EQ(core::code_of(two.claim(request("other"), "a2", "t")),
              result_code::request_id_reused);
}

// Guards against a request that is stuck because its entry died, and against
// two valid attempts: raising the attempt fences the earlier one.
TEST_F(request_claims_test, raises_attempt_of_dead_entry)
{
    EXPECT_TRUE(core::is_ok(one.claim(request(), "a1", "t")));
    directory.entries = {entry("two")};
    auto const number = two.claim(request(), "a2", "t");
    ASSERT_TRUE(core::is_ok(number));
    EXPECT_EQ(core::value(number), 2U);
    EXPECT_EQ(stored().attempt_id, "a2");
}

// Guards against taking a request from an entry that is starting it, and
// against waiting forever for one that gave up without a mark.
TEST_F(request_claims_test, watches_claim_of_live_entry)
{
    EXPECT_TRUE(core::is_ok(one.claim(request(), "a1", "t")));
    on_pause = [this] {
        on_pause = nullptr;
        set_state(claim_state::started);
    };
    EXPECT_EQ(core::code_of(two.claim(request(), "a2", "t")),
              result_code::still_running);
    set_state(claim_state::claimed);
    auto const started_at = clock.now();
    EXPECT_TRUE(core::is_ok(two.claim(request(), "a3", "t")));
    EXPECT_GE(clock.now() - started_at, core::duration(1000));
}

// Guards against two entries that both believe they hold the request: the
// other entry writes its claim between the read and the write of this one.
TEST_F(request_claims_test, lets_one_of_two_entries_win)
{
    table.before_commit = [this] {
        EXPECT_TRUE(core::is_ok(two.claim(request(), "b1", "t")));
        set_state(claim_state::started);
    };
    EXPECT_EQ(core::code_of(one.claim(request(), "a1", "t")),
              result_code::still_running);
    EXPECT_EQ(stored().attempt_id, "b1");
}

// Guards against a lost answer that creates the claim twice or loses it.
TEST_F(request_claims_test, recovers_lost_answer)
{
    table.responses_to_lose = 1;
    auto const number = one.claim(request(), "a1", "t");
    ASSERT_TRUE(core::is_ok(number));
    EXPECT_EQ(core::value(number), 1U);
    EXPECT_EQ(stored().attempt, 1U);
}

// Guards against a dispatch without a claim while the table is down.
TEST_F(request_claims_test, reports_table_that_is_down)
{
    table.is_down = true;
    EXPECT_EQ(core::code_of(one.claim(request(), "a1", "t")),
              result_code::store_unavailable);
}

// Guards against a request that was given up and can never run, and against
// marking a request that has started meanwhile.
TEST_F(request_claims_test, lets_given_up_request_run_later)
{
    auto const first = request();
    claim_gate gate(one, first);
    core::error const reason{result_code::deadline_not_run, "too late"};
    EXPECT_TRUE(core::is_ok(gate.authorize("a1", "t")));
    gate.give_up(reason);
    EXPECT_EQ(stored().state, claim_state::not_run);
    EXPECT_TRUE(core::is_ok(two.claim(request(), "a2", "t")));
    EXPECT_EQ(stored().attempt, 2U);
    set_state(claim_state::started);
    gate.give_up(reason);
    EXPECT_EQ(stored().state, claim_state::started);
}

} // namespace
} // namespace sequoiaroute::targets
