#include "workers/attempt_registry.hpp"

#include "support/manual_clock.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::workers {
namespace {

using namespace std::chrono_literals;
using peers::attempt_state;

peers::dispatch make_dispatch(std::string const& attempt_id)
{
    peers::dispatch request;
    request.attempt_id = attempt_id;
    request.request_id = "r1";
    request.customer = "c1";
    return request;
}

peers::attempt_answer make_finished_answer(std::string const& attempt_id,
                                           std::string const& body)
{
    peers::attempt_answer answer;
    answer.attempt_id = attempt_id;
    answer.state = attempt_state::finished;
    answer.body = body;
    return answer;
}

class attempt_registry_test : public testing::Test
{
protected:
    support::manual_clock clock_;
    attempt_registry registry_{clock_, {10min, 60min, 100}};
};

// Guards against an attempt that runs twice because its dispatch is repeated.
TEST_F(attempt_registry_test, begins_each_attempt_once)
{
    EXPECT_TRUE(registry_.begin(make_dispatch("a1")).is_new);
    auto const repeated = registry_.begin(make_dispatch("a1"));
    EXPECT_FALSE(repeated.is_new);
    EXPECT_EQ(repeated.answer.state, attempt_state::running);
    registry_.finish(make_finished_answer("a1", "body"));
    EXPECT_EQ(registry_.begin(make_dispatch("a1")).answer.body, "body");
}

// Guards against a late dispatch that runs after the entry has reported the
// request as not run.
TEST_F(attempt_registry_test, fence_refuses_late_dispatch)
{
    EXPECT_EQ(registry_.fence("a1").state, attempt_state::fenced);
    clock_.advance(11min);
    registry_.expire();
    auto const late_dispatch = registry_.begin(make_dispatch("a1"));
    EXPECT_FALSE(late_dispatch.is_new);
    EXPECT_EQ(late_dispatch.answer.state, attempt_state::fenced);
}

// Guards against reporting an attempt as not run while it is running.
TEST_F(attempt_registry_test, fence_reports_running_attempt)
{
    registry_.begin(make_dispatch("a1"));
    EXPECT_EQ(registry_.fence("a1").state, attempt_state::running);
}

TEST_F(attempt_registry_test, query_finds_latest_attempt_of_request)
{
    registry_.begin(make_dispatch("a1"));
    registry_.begin(make_dispatch("a2"));
    registry_.finish(make_finished_answer("a2", "second"));
    EXPECT_EQ(registry_.query({"", "c1", "r1"}).body, "second");
    EXPECT_EQ(registry_.query({"a1", "", ""}).state, attempt_state::running);
    EXPECT_EQ(registry_.query({"", "c2", "r1"}).state, attempt_state::unknown);
}

// Guards against unbounded memory, and against an attempt that runs again after
// its answer was dropped.
TEST_F(attempt_registry_test, drops_oldest_answer_but_not_its_attempt)
{
    for (auto const* const attempt_id : {"a1", "a2"}) {
        registry_.begin(make_dispatch(attempt_id));
        registry_.finish(
            make_finished_answer(attempt_id, std::string(60, 'x')));
    }
    EXPECT_EQ(registry_.query({"a2", "", ""}).body.size(), 60U);
    auto const dropped = registry_.query({"a1", "", ""});
    EXPECT_EQ(dropped.state, attempt_state::failed);
    EXPECT_TRUE(dropped.body.empty());
    EXPECT_FALSE(registry_.begin(make_dispatch("a1")).is_new);
    EXPECT_EQ(registry_.dump()["answer_bytes"], 60);
}

TEST_F(attempt_registry_test, keeps_finished_answer_for_ten_minutes)
{
    registry_.begin(make_dispatch("a1"));
    registry_.finish(make_finished_answer("a1", "body"));
    clock_.advance(10min - 1ms);
    registry_.expire();
    EXPECT_EQ(registry_.query({"", "c1", "r1"}).body, "body");
    clock_.advance(1ms);
    registry_.expire();
    EXPECT_EQ(registry_.query({"", "c1", "r1"}).state, attempt_state::unknown);
}

} // namespace
} // namespace sequoiaroute::workers
