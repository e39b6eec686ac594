#include "workers/mocks.hpp"
#include "workers/request_runner.hpp"

#include "core/identifier.hpp"
#include "support/manual_clock.hpp"

#include <future>

#include <gtest/gtest.h>

namespace sequoiaroute::workers {
namespace {

using namespace std::chrono_literals;
using core::result_code;
using peers::attempt_state;
using testing::_;
using testing::Field;
using testing::InSequence;
using testing::Return;

class request_runner_test : public testing::Test
{
protected:
    static peers::dispatch make_dispatch(std::string const& attempt_id,
                                         bool is_unrepeatable = false)
    {
        return {attempt_id, "r1", "c1", "body", 1000, is_unrepeatable, 1};
    }

    support::manual_clock clock_;
    attempt_registry registry_{clock_, {}};
    testing::StrictMock<mock_executor> executor_;
    testing::StrictMock<mock_permits> permits_;
    testing::StrictMock<mock_store> store_;
    result_writer writer_{store_, permits_, 1000};
    request_runner runner_{1, clock_, registry_, executor_, permits_, writer_};
};

TEST_F(request_runner_test, answers_with_length_and_digest)
{
    EXPECT_CALL(executor_, execute(_)).WillOnce(Return("answer"));
    auto const answer = runner_.dispatch(make_dispatch("a1"));
    EXPECT_EQ(answer.state, attempt_state::finished);
    EXPECT_EQ(answer.length, 6U);
    EXPECT_EQ(answer.digest, core::digest("answer"));
    EXPECT_EQ(writer_.pending(), 1U);
    EXPECT_CALL(store_, put("results/requests/c1/r1", "answer"))
        .WillOnce(Return(core::success()));
    writer_.flush();
    EXPECT_EQ(writer_.pending(), 0U);
}

// Guards against a repeated dispatch that reaches the executor again.
TEST_F(request_runner_test, runs_each_attempt_once)
{
    EXPECT_CALL(executor_, execute(_)).WillOnce(Return("answer"));
    runner_.dispatch(make_dispatch("a1"));
    EXPECT_EQ(runner_.dispatch(make_dispatch("a1")).body, "answer");
}

TEST_F(request_runner_test, refuses_when_all_slots_are_in_use)
{
    std::promise<void> entered;
    std::promise<void> release;
    EXPECT_CALL(executor_, execute(_)).WillOnce([&](auto const&) {
        entered.set_value();
        release.get_future().wait();
        return core::result<std::string>("answer");
    });
    auto first = std::async(std::launch::async, [&] {
        return runner_.dispatch(make_dispatch("a1"));
    });
    entered.get_future().wait();
    auto const second = runner_.dispatch(make_dispatch("a2"));
    release.set_value();
    EXPECT_EQ(second.state, attempt_state::refused);
    EXPECT_EQ(second.code, static_cast<int>(result_code::refused_not_run));
    EXPECT_EQ(first.get().state, attempt_state::finished);
}

// Guards against new work at a leaving target when an entry does not yet know
// that it is leaving.
TEST_F(request_runner_test, refuses_when_leaving)
{
    runner_.set_leaving();
    auto const answer = runner_.dispatch(make_dispatch("a1"));
    EXPECT_EQ(answer.code, static_cast<int>(result_code::refused_not_run));
    EXPECT_EQ(runner_.slots_used(), 0);
}

// Guards against a second start of an unrepeatable request: without the permit
// the executor must not be called.
TEST_F(request_runner_test, does_not_run_without_permit)
{
    for (auto const& [code, state] :
         {std::pair{result_code::refused_not_run, attempt_state::refused},
          std::pair{result_code::not_run_store_unavailable,
                    attempt_state::refused},
          std::pair{result_code::outcome_unknown, attempt_state::failed}}) {
        EXPECT_CALL(permits_, acquire(_))
            .WillOnce(Return(core::error{code, "no permit"}));
        auto const answer = runner_.dispatch(
            make_dispatch("a" + std::to_string(static_cast<int>(code)), true));
        EXPECT_EQ(answer.state, state);
        EXPECT_EQ(answer.code, static_cast<int>(code));
    }
}

// Guards against a row in state finished before the result can be read.
TEST_F(request_runner_test, stores_unrepeatable_result_before_the_row)
{
    InSequence const sequence;
    EXPECT_CALL(permits_, acquire(Field(&request_attempt::claim_attempt, 1)))
        .WillOnce(Return(core::success()));
    EXPECT_CALL(executor_, execute(_)).WillOnce(Return("answer"));
    EXPECT_CALL(store_, put(_, "answer")).WillOnce(Return(core::success()));
    EXPECT_CALL(permits_, record_outcome(
                              _, Field(&permit_outcome::code, result_code::ok)))
        .WillOnce(Return(core::success()));
    EXPECT_EQ(runner_.dispatch(make_dispatch("a1", true)).state,
              attempt_state::finished);
    EXPECT_EQ(writer_.pending(), 0U);
}

// Guards against losing a result because the object store is down when the
// request finishes.
TEST_F(request_runner_test, keeps_unrepeatable_result_while_store_is_down)
{
    EXPECT_CALL(permits_, acquire(_)).WillOnce(Return(core::success()));
    EXPECT_CALL(executor_, execute(_)).WillOnce(Return("answer"));
    core::status const store_down =
        core::error{result_code::store_unavailable, "down"};
    EXPECT_CALL(store_, put(_, "answer"))
        .WillOnce(Return(store_down))
        .WillOnce(Return(core::success()));
    EXPECT_CALL(permits_, record_outcome(_, _))
        .WillOnce(Return(store_down))
        .WillOnce(Return(core::success()));
    EXPECT_EQ(runner_.dispatch(make_dispatch("a1", true)).body, "answer");
    writer_.flush();
    EXPECT_EQ(writer_.pending(), 1U);
    writer_.flush();
    EXPECT_EQ(writer_.pending(), 0U);
    EXPECT_EQ(writer_.dump()["bytes"], 0);
}

// Guards against unbounded memory during an outage of the object store.
TEST_F(request_runner_test, refuses_work_when_too_many_results_are_queued)
{
    EXPECT_CALL(executor_, execute(_)).WillOnce(Return(std::string(1000, 'x')));
    runner_.dispatch(make_dispatch("a1"));
    auto const refused = runner_.dispatch(make_dispatch("a2"));
    EXPECT_EQ(refused.code, static_cast<int>(result_code::refused_not_run));
    EXPECT_CALL(store_, put(_, _)).WillOnce(Return(core::success()));
    writer_.flush();
    EXPECT_CALL(executor_, execute(_)).WillOnce(Return("answer"));
    EXPECT_EQ(runner_.dispatch(make_dispatch("a3")).state,
              attempt_state::finished);
}

// Guards against a request that stays in state started although the executor
// refused to run it.
TEST_F(request_runner_test, reverts_row_to_claimed_when_executor_refuses)
{
    EXPECT_CALL(permits_, acquire(_)).WillOnce(Return(core::success()));
    EXPECT_CALL(executor_, execute(_))
        .WillOnce(Return(core::error{result_code::refused_not_run, "busy"}));
    EXPECT_CALL(permits_, revert_to_claimed(_))
        .WillOnce(Return(core::success()));
    EXPECT_EQ(runner_.dispatch(make_dispatch("a1", true)).state,
              attempt_state::refused);
}

// Guards against reporting a request as not run because the answer of the
// executor was lost.
TEST_F(request_runner_test, lost_executor_answer_is_outcome_unknown)
{
    EXPECT_CALL(permits_, acquire(_)).WillOnce(Return(core::success()));
    EXPECT_CALL(executor_, execute(_))
        .WillOnce(Return(core::error{result_code::outcome_unknown, "reset"}));
    EXPECT_CALL(permits_,
                record_outcome(_, Field(&permit_outcome::code,
                                        result_code::outcome_unknown)))
        .WillOnce(Return(core::success()));
    auto const answer = runner_.dispatch(make_dispatch("a1", true));
    EXPECT_EQ(answer.state, attempt_state::failed);
}

} // namespace
} // namespace sequoiaroute::workers
