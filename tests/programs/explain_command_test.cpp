#include "programs/explain_command.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::programs {
namespace {

std::vector<std::string> const lines{
    R"({"time_ms":1030,"node":"agent-1","event":"start_answered","run":"j1.0.0.0/1"})",
    R"({"time_ms":1000,"node":"entry-1","event":"job_accepted","job":"j1"})",
    R"({"time_ms":1005,"node":"entry-2","event":"job_queued","job":"j1"})",
    R"({"time_ms":1010,"node":"entry-2","event":"run_ordered","job":"j1"})",
    R"({"time_ms":1011,"node":"entry-2","event":"run_ordered","job":"j12"})",
    "no event at all",
};

TEST(explain, tells_the_events_of_one_job_in_order)
{
    auto const story = explain("j1", lines);
    auto const accepted = story.find("job_accepted");
    auto const ordered = story.find("run_ordered");
    auto const started = story.find("start_answered");
    EXPECT_LT(accepted, ordered);
    EXPECT_LT(ordered, started);
    EXPECT_NE(story.find("+0.030 s"), std::string::npos);
    EXPECT_EQ(story.find("j12"), std::string::npos);
}

// Guards against a story that looks whole although a process says nothing.
TEST(explain, names_what_is_missing)
{
    EXPECT_NE(explain("j1", lines).find("missing: run_ended"),
              std::string::npos);
    EXPECT_EQ(explain("j1", lines).find("missing: job_queued"),
              std::string::npos);
    EXPECT_NE(explain("j12", lines).find("missing: start_answered"),
              std::string::npos);
    EXPECT_NE(explain("j3", lines).find("no line names j3"), std::string::npos);
}

// Guards against a late order that is not named: an agent's line of a start
// that went well has an empty reason beside the outcome.
TEST(explain, names_an_order_that_came_late)
{
    std::vector<std::string> const late{
        R"({"time_ms":10,"node":"e","event":"run_ordered","job":"j1",)"
        R"("run":"j1.0.0.0/1","agent":"a"})",
        R"({"time_ms":1510,"node":"a","event":"start_answered",)"
        R"("run":"j1.0.0.0/1","outcome":"done","reason":""})"};
    EXPECT_NE(explain("j1", late).find("lost 1.500 s: orders reached"),
              std::string::npos)
        << explain("j1", late);
}

} // namespace
} // namespace sequoiaroute::programs
