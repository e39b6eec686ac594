#include "targets/claim_authorizer.hpp"

#include "support/manual_clock.hpp"
#include "support/request_mocks.hpp"
#include "support/unreliable_table.hpp"

#include <gtest/gtest.h>

#include <array>

namespace sequoiaroute::targets {
namespace {

using core::result_code;

/// The claims of two entries over one table.
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
                     if (on_sleep)
                         on_sleep();
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
    std::function<void()> on_sleep;
    request_claims one = claims_of("one");
    request_claims two = claims_of("two");
};

// Guards against starting a request a second time.
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

// Guards against answering a request whose id was used for another body.
TEST_F(request_claims_test, refuses_other_body_under_same_id)
{
    EXPECT_TRUE(core::is_ok(one.claim(request(), "a1", "t")));
    EXPECT_EQ(core::code_of(two.claim(request("other"), "a2", "t")),
              result_code::request_id_reused);
}

// Guards against a request that stays claimed after its entry failed, and
// against two valid attempts: the increment fences the earlier one.
TEST_F(request_claims_test, increments_attempt_of_failed_entry)
{
    EXPECT_TRUE(core::is_ok(one.claim(request(), "a1", "t")));
    directory.entries = {entry("two")};
    auto const number = two.claim(request(), "a2", "t");
    ASSERT_TRUE(core::is_ok(number));
    EXPECT_EQ(core::value(number), 2U);
    EXPECT_EQ(stored().attempt_id, "a2");
}

// Guards against claiming a request that another entry is about to start, and
// against waiting forever for an entry that abandoned its claim without marking
// it as not_run.
TEST_F(request_claims_test, waits_for_claim_of_live_entry)
{
    EXPECT_TRUE(core::is_ok(one.claim(request(), "a1", "t")));
    on_sleep = [this] {
        on_sleep = nullptr;
        set_state(claim_state::started);
    };
    EXPECT_EQ(core::code_of(two.claim(request(), "a2", "t")),
              result_code::still_running);
    set_state(claim_state::claimed);
    auto const started_at = clock.now();
    EXPECT_TRUE(core::is_ok(two.claim(request(), "a3", "t")));
    EXPECT_GE(clock.now() - started_at, core::duration(1000));
}

// Guards against two entries that both hold the claim: the other entry writes
// its claim between the read and the write of this one.
TEST_F(request_claims_test, only_one_of_two_concurrent_claims_succeeds)
{
    table.before_commit = [this] {
        EXPECT_TRUE(core::is_ok(two.claim(request(), "b1", "t")));
        set_state(claim_state::started);
    };
    EXPECT_EQ(core::code_of(one.claim(request(), "a1", "t")),
              result_code::still_running);
    EXPECT_EQ(stored().attempt_id, "b1");
}

// Guards against creating a claim twice or losing it when the answer to its
// write is lost.
TEST_F(request_claims_test, recovers_lost_answer)
{
    table.responses_to_lose = 1;
    auto const number = one.claim(request(), "a1", "t");
    ASSERT_TRUE(core::is_ok(number));
    EXPECT_EQ(core::value(number), 1U);
    EXPECT_EQ(stored().attempt, 1U);
}

// Guards against a dispatch without a claim while the table is unavailable.
TEST_F(request_claims_test, reports_unavailable_table)
{
    table.is_down = true;
    EXPECT_EQ(core::code_of(one.claim(request(), "a1", "t")),
              result_code::store_unavailable);
}

// Guards against an abandoned request that can never run, and against marking a
// request as not_run that has since been started.
TEST_F(request_claims_test, abandoned_request_can_run_later)
{
    auto const first = request();
    claim_authorizer authorizer(one, first);
    core::error const reason{result_code::deadline_not_run, "too late"};
    EXPECT_TRUE(core::is_ok(authorizer.authorize("a1", "t")));
    authorizer.mark_not_run(reason);
    EXPECT_EQ(stored().state, claim_state::not_run);
    EXPECT_TRUE(core::is_ok(two.claim(request(), "a2", "t")));
    EXPECT_EQ(stored().attempt, 2U);
    set_state(claim_state::started);
    authorizer.mark_not_run(reason);
    EXPECT_EQ(stored().state, claim_state::started);
}

} // namespace
} // namespace sequoiaroute::targets
