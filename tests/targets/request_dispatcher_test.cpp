#include "targets/request_dispatcher.hpp"

#include "support/manual_clock.hpp"
#include "support/request_mocks.hpp"

#include <gtest/gtest.h>

#include <map>

namespace sequoiaroute::targets {
namespace {

using core::result_code;
using peers::attempt_state;
using support::make_answer;
using support::make_attempt_answer;
using support::make_error;
using support::make_executor_target;
using support::make_finished_attempt;
using testing::_;
using testing::NiceMock;
using link_answer = core::result<peers::answer_envelope>;

class mock_authorizer : public attempt_authorizer
{
public:
    MOCK_METHOD(core::result<std::uint64_t>, authorize,
                (std::string_view, std::string_view), (override));
};

struct request_dispatcher_test : testing::Test
{
    request_dispatcher_test()
    {
        directory.known = {make_executor_target("a"),
                           make_executor_target("b")};
        ON_CALL(*link, call(_, _, _))
            .WillByDefault([this](auto kind, auto const& body, auto) {
                ++calls[std::string(kind)];
                return handlers.at(std::string(kind))(
                    body.at("attempt_id").template get<std::string>());
            });
        on("dispatch", [](auto id) {
            return make_answer(make_finished_attempt(id, "proof"));
        });
        on("query", [](auto) { return make_error(result_code::timed_out); });
        on("fence", [](auto) { return make_error(result_code::timed_out); });
    }

    void on(std::string const& kind,
            std::function<link_answer(std::string)> handler)
    {
        handlers[kind] = std::move(handler);
    }

    void on_state(std::string const& kind, attempt_state state,
                  std::string const& incarnation = "first")
    {
        on(kind, [=](auto id) {
            return make_answer(make_attempt_answer(id, state), incarnation);
        });
    }

    result_code send(bool is_unrepeatable = false)
    {
        urgent_request request{.request_id = "r",
                               .customer = "press",
                               .service = "proofs",
                               .body = "chapbook",
                               .body_digest = {},
                               .is_unrepeatable = is_unrepeatable,
                               .deadline = clock.now() + core::duration(5000)};
        auto outcome =
            dispatcher.send(request, is_unrepeatable ? &authorizer : nullptr);
        if (core::is_ok(outcome.answer))
            body = core::value(outcome.answer).body;
        return core::code_of(outcome.answer);
    }

    support::manual_clock clock;
    std::shared_ptr<NiceMock<support::mock_link>> link =
        std::make_shared<NiceMock<support::mock_link>>();
    support::single_link_pool links{link};
    NiceMock<support::fixed_directory> directory;
    policy::retry_budget budget;
    NiceMock<mock_authorizer> authorizer;
    request_dispatcher dispatcher{
        {links, directory, clock, budget,
         [this](core::duration time) { clock.advance(time); }},
        "north"};
    std::map<std::string, std::function<link_answer(std::string)>> handlers;
    std::map<std::string, int> calls;
    std::string body;
};

TEST_F(request_dispatcher_test, returns_answer)
{
    EXPECT_EQ(send(), result_code::ok);
    EXPECT_EQ(body, "proof");
}

// Guards against returning the answer to another request.
TEST_F(request_dispatcher_test, drops_answer_of_other_attempt)
{
    on("dispatch", [](auto) {
        return make_answer(make_finished_attempt("other", "someone else's"));
    });
    on("query",
       [](auto id) { return make_answer(make_finished_attempt(id, "proof")); });
    EXPECT_EQ(send(), result_code::ok);
    EXPECT_EQ(body, "proof");
}

// Guards against returning a truncated or altered answer.
TEST_F(request_dispatcher_test, reports_answer_that_fails_check)
{
    auto const truncated = [](auto id) {
        auto answer = make_finished_attempt(id, "proof");
        answer.body = "pro";
        return make_answer(answer);
    };
    on("dispatch", truncated);
    on("query", truncated);
    EXPECT_EQ(send(), result_code::answer_incomplete);
}

// Guards against losing an answer when its connection fails.
TEST_F(request_dispatcher_test, queries_missing_answer)
{
    on("dispatch", [](auto) { return make_error(result_code::timed_out); });
    on("query", [running = 2](auto id) mutable {
        if (running-- > 0) {
            return make_answer(make_attempt_answer(id, attempt_state::running));
        }
        return make_answer(make_finished_attempt(id, "late proof"));
    });
    EXPECT_EQ(send(), result_code::ok);
    EXPECT_EQ(body, "late proof");
    EXPECT_EQ(calls["dispatch"], 1);
}

// Guards against a "not run" result while an attempt may still run.
TEST_F(request_dispatcher_test, never_reports_not_run_after_missing_answer)
{
    on("dispatch", [](auto) { return make_error(result_code::timed_out); });
    EXPECT_EQ(send(), result_code::outcome_unknown);
    EXPECT_EQ(calls["dispatch"], 2);
    EXPECT_EQ(calls["fence"], 2);
}

// Guards against trusting a fence that another incarnation confirms: the one
// that received the dispatch may have run it.
TEST_F(request_dispatcher_test, ignores_fence_of_other_incarnation)
{
    on("dispatch", [](auto) { return make_error(result_code::timed_out); });
    on_state("query", attempt_state::unknown, "second");
    on_state("fence", attempt_state::fenced, "second");
    EXPECT_EQ(send(), result_code::outcome_unknown);
}

// Guards against reporting an unknown outcome when a fence proves that nothing
// ran: the request must be dispatched again.
TEST_F(request_dispatcher_test, dispatches_again_after_fence)
{
    on("dispatch", [this](auto id) -> link_answer {
        if (calls["dispatch"] == 1)
            return make_error(result_code::timed_out);
        return make_answer(make_finished_attempt(id, "proof"));
    });
    on_state("query", attempt_state::unknown);
    on_state("fence", attempt_state::fenced);
    EXPECT_CALL(authorizer, authorize).Times(2).WillRepeatedly([](auto, auto) {
        return core::result<std::uint64_t>(std::uint64_t{1});
    });
    EXPECT_EQ(send(true), result_code::ok);
}

// Guards against ending a request on a refusal, since targets may be full or
// leaving only briefly, and against reporting a refused request as having run.
TEST_F(request_dispatcher_test, retries_refusals_until_deadline)
{
    on("dispatch", [this](auto id) -> link_answer {
        if (calls["dispatch"] <= 6) {
            return make_answer(make_attempt_answer(id, attempt_state::refused));
        }
        return make_answer(make_finished_attempt(id, "proof"));
    });
    EXPECT_EQ(send(), result_code::ok);
    on_state("dispatch", attempt_state::refused);
    EXPECT_EQ(send(), result_code::deadline_not_run);
}

// Guards against retries beyond the budget while every target fails.
TEST_F(request_dispatcher_test, stops_at_retry_budget)
{
    for (auto const* id : {"c", "d", "e", "f"})
        directory.known.push_back(make_executor_target(id));
    on_state("dispatch", attempt_state::failed);
    EXPECT_EQ(send(), result_code::execution_failed);
    EXPECT_EQ(calls["dispatch"], 4);
    EXPECT_EQ(send(), result_code::execution_failed);
    EXPECT_EQ(calls["dispatch"], 5);
}

// Guards against running an unrepeatable request twice.
TEST_F(request_dispatcher_test, never_repeats_failed_unrepeatable_request)
{
    ON_CALL(authorizer, authorize).WillByDefault([](auto, auto) {
        return core::result<std::uint64_t>(std::uint64_t{1});
    });
    on_state("dispatch", attempt_state::failed);
    EXPECT_EQ(send(true), result_code::execution_failed);
    EXPECT_EQ(calls["dispatch"], 1);
}

// Guards against a second run when the first attempt may have started, and
// against a "not run" result when the table does not answer after a dispatch
// whose answer was lost.
TEST_F(request_dispatcher_test, authorizes_each_attempt)
{
    on("dispatch", [](auto) { return make_error(result_code::timed_out); });
    EXPECT_CALL(authorizer, authorize)
        .WillOnce([](auto, auto) { return std::uint64_t{1}; })
        .WillOnce([](auto, auto) {
            return make_error(result_code::store_unavailable);
        })
        .WillOnce([](auto, auto) {
            return make_error(result_code::store_unavailable);
        });
    EXPECT_EQ(send(true), result_code::outcome_unknown);
    EXPECT_EQ(calls["dispatch"], 1);
    EXPECT_EQ(send(true), result_code::not_run_store_unavailable);
    EXPECT_EQ(calls["dispatch"], 1);
}

// Guards against sending new work to a target that cannot be reached.
TEST_F(request_dispatcher_test, tries_other_target_when_unreachable)
{
    on("dispatch", [this](auto id) -> link_answer {
        if (calls["dispatch"] == 1)
            return make_error(result_code::unreachable);
        return make_answer(make_finished_attempt(id, "proof"));
    });
    EXPECT_CALL(directory, record_failure).Times(1);
    EXPECT_EQ(send(), result_code::ok);
    EXPECT_EQ(calls["query"], 0);
}

// Guards against overloading one executor by a burst between two reports.
TEST(slot_tracker, counts_own_requests_and_those_of_others)
{
    slot_tracker tracker;
    auto report = make_executor_target("a").report;
    report.slots_used = 3;
    EXPECT_EQ(tracker.free_slots(report), 5);
    auto const held = tracker.reserve(report);
    EXPECT_EQ(tracker.free_slots(report), 4);
    // The next report counts the request of this entry as well.
    report.sequence = 2;
    report.slots_used = 4;
    EXPECT_EQ(tracker.free_slots(report), 4);
    report.slots = 1;
    EXPECT_FALSE(tracker.reserve(report));
}

// Guards against queueing a request that cannot be dispatched in time.
TEST_F(request_dispatcher_test, refuses_early_without_executor)
{
    directory.known.clear();
    EXPECT_EQ(send(), result_code::no_target_not_run);
    EXPECT_EQ(calls["dispatch"], 0);
}

} // namespace
} // namespace sequoiaroute::targets
