#include "callers/request_fixture.hpp"

#include <thread>

namespace sequoiaroute::callers {
namespace {

using core::result_code;
using peers::attempt_state;
using support::make_answer;
using support::make_attempt_answer;
using support::make_error;
using support::make_finished_attempt;
using targets::claim_state;

struct request_service_test : request_fixture
{
};

// Guards against running a request again when it is submitted a second time.
TEST_F(request_service_test, answers_repeated_submission_from_cache)
{
    EXPECT_EQ(submit(make_submission("r")), result_code::ok);
    EXPECT_EQ(submit(make_submission("r")), result_code::ok);
    EXPECT_EQ(call_counts["dispatch"], 1);
    EXPECT_EQ(submit(make_submission("r", false, "other")),
              result_code::request_id_reused);
    EXPECT_EQ(core::code_of(service.find("press", "r")), result_code::ok);
    EXPECT_EQ(core::code_of(service.find("other", "r")),
              result_code::unknown_request);
}

// Guards against running a request twice when it is submitted again while it is
// in flight.
TEST_F(request_service_test, waits_for_submission_in_flight)
{
    std::promise<void> dispatch_started;
    std::promise<void> finish_dispatch;
    auto const dispatch_may_finish = finish_dispatch.get_future().share();
    agent_handlers["dispatch"] = [&,
                                  dispatch_may_finish](auto const& reference) {
        dispatch_started.set_value();
        dispatch_may_finish.wait();
        return make_answer(
            make_finished_attempt(reference.attempt_id, "proof"));
    };
    auto first_submission = std::async(
        std::launch::async, [&] { return submit(make_submission("r")); });
    dispatch_started.get_future().wait();
    EXPECT_EQ(core::code_of(service.find("press", "r")),
              result_code::still_running);
    EXPECT_EQ(submit(make_submission("r", false, "other")),
              result_code::request_id_reused);
    auto second_submission = std::async(
        std::launch::async, [&] { return submit(make_submission("r")); });
    service.begin_drain();
    EXPECT_EQ(submit(make_submission("new")), result_code::stopping_not_run);
    finish_dispatch.set_value();
    EXPECT_EQ(first_submission.get(), result_code::ok);
    EXPECT_EQ(second_submission.get(), result_code::ok);
    EXPECT_EQ(call_counts["dispatch"], 1);
}

// Guards against running requests under unconfirmed rules, of customers that
// are not in the rules, or beyond the limits of a customer.
TEST_F(request_service_test, enforces_rules_and_limits)
{
    rules.state = make_error(result_code::rules_unconfirmed);
    EXPECT_EQ(submit(make_submission("r")), result_code::rules_unconfirmed);
    rules.state = core::success();
    rules.set->customers["press"].limits.requests_per_second = 1;
    EXPECT_EQ(submit(make_submission("r")), result_code::ok);
    auto const refused = service.submit(make_submission("s"));
    EXPECT_EQ(core::code_of(refused.answer),
              result_code::limit_exceeded_not_run);
    EXPECT_GT(refused.retry_after, core::duration(0));
    rules.set->customers.clear();
    EXPECT_EQ(submit(make_submission("t")), result_code::forbidden);
    EXPECT_EQ(call_counts["dispatch"], 1);
}

// Guards against running an unrepeatable request without a claim, and against
// refusing repeatable ones because the table is down.
TEST_F(request_service_test, refuses_only_unrepeatable_while_table_is_down)
{
    table.is_down = true;
    EXPECT_EQ(submit(make_submission("u", true)),
              result_code::not_run_store_unavailable);
    EXPECT_EQ(call_counts["dispatch"], 0);
    EXPECT_EQ(submit(make_submission("r")), result_code::ok);
}

// Guards against a second run of an unrepeatable request that was started
// through another entry. The service has to wait for its result instead.
TEST_F(request_service_test, waits_for_request_started_elsewhere)
{
    set_claim(claim_state::started);
    agent_handlers["query"] = [this](auto const& reference) {
        if (call_counts["query"] < 4) {
            return make_answer(make_attempt_answer("", attempt_state::running));
        }
        EXPECT_EQ(reference.request_id, "r");
        set_claim(claim_state::finished);
        objects.objects["results/requests/press/r"] = "counted";
        return make_answer(make_attempt_answer("", attempt_state::unknown));
    };
    auto const outcome = service.submit(make_submission("r", true));
    ASSERT_TRUE(core::is_ok(outcome.answer));
    EXPECT_EQ(core::value(outcome.answer).body, "counted");
    EXPECT_EQ(call_counts["dispatch"], 0);
}

// Guards against a "not run" error for a request that was started and then
// lost.
TEST_F(request_service_test, reports_lost_request_as_unknown)
{
    set_claim(claim_state::started);
    EXPECT_EQ(submit(make_submission("r", true)), result_code::outcome_unknown);
    EXPECT_EQ(call_counts["dispatch"], 0);
}

// Guards against a claim that blocks later submissions after this entry has
// given up the request before any attempt started.
TEST_F(request_service_test, marks_abandoned_request_as_not_run)
{
    agent_handlers["dispatch"] = [](auto const& reference) {
        return make_answer(
            make_attempt_answer(reference.attempt_id, attempt_state::refused));
    };
    EXPECT_EQ(submit(make_submission("r", true)),
              result_code::deadline_not_run);
    EXPECT_EQ(core::value(claims.read("press", "r"))->state,
              claim_state::not_run);
    EXPECT_EQ(core::code_of(service.find("press", "r")),
              result_code::deadline_not_run);
}

// Guards against missing an answer that only an agent has, and against
// unknown_request while an agent or the object store does not respond.
TEST_F(request_service_test, finds_result_at_agents)
{
    agent_handlers["query"] = [](auto const&) {
        return make_error(result_code::timed_out);
    };
    EXPECT_EQ(core::code_of(service.find("press", "r")),
              result_code::outcome_unknown);
    agent_handlers["query"] = [](auto const&) {
        return make_answer(make_finished_attempt("", "proof"));
    };
    EXPECT_EQ(core::value(service.find("press", "r")).body, "proof");
    agent_handlers["query"] = [](auto const&) {
        return make_answer(make_attempt_answer("", attempt_state::unknown));
    };
    objects.is_down = true;
    EXPECT_EQ(core::code_of(service.find("press", "r")),
              result_code::store_unavailable);
}

// Guards against reporting a claimed request as running forever after the entry
// that claimed it has failed.
TEST_F(request_service_test, reports_claim_of_dead_entry_as_unknown)
{
    set_claim(claim_state::claimed, "gone");
    EXPECT_EQ(core::code_of(service.find("press", "r")),
              result_code::outcome_unknown);
    EXPECT_EQ(submit(make_submission("r", true)), result_code::ok);
    EXPECT_EQ(core::value(claims.read("press", "r"))->attempt, 2U);
}

// Guards against a cache that grows without bound.
TEST(answer_cache, evicts_oldest_answers)
{
    answer_cache cache(3000);
    for (auto const* key : {"a", "b", "c"})
        cache.insert(key, "", {std::string(800, 'x'), ""});
    EXPECT_FALSE(cache.find("a"));
    EXPECT_TRUE(cache.find("b"));
    cache.insert("large", "", {std::string(4000, 'x'), ""});
    EXPECT_FALSE(cache.find("large"));
    EXPECT_TRUE(cache.find("c"));
}

} // namespace
} // namespace sequoiaroute::callers
