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

TEST(explain, lists_the_events_of_one_job_in_order)
{
    auto const timeline = explain("j1", lines);
    auto const accepted = timeline.find("job_accepted");
    auto const ordered = timeline.find("run_ordered");
    auto const started = timeline.find("start_answered");
    EXPECT_LT(accepted, ordered);
    EXPECT_LT(ordered, started);
    EXPECT_NE(timeline.find("+0.030 s"), std::string::npos);
    EXPECT_EQ(timeline.find("j12"), std::string::npos);
}

// Guards against a timeline that looks complete although the events of a
// process are missing.
TEST(explain, names_missing_events)
{
    EXPECT_NE(explain("j1", lines).find("missing: run_ended"),
              std::string::npos);
    EXPECT_EQ(explain("j1", lines).find("missing: job_queued"),
              std::string::npos);
    EXPECT_NE(explain("j12", lines).find("missing: start_answered"),
              std::string::npos);
    EXPECT_NE(explain("j3", lines).find("no line names j3"), std::string::npos);
}

// Guards against missing a late order: the event of a successful start has an
// empty reason beside its outcome, which must not be taken for the outcome.
TEST(explain, names_a_late_order)
{
    std::vector<std::string> const late_start{
        R"({"time_ms":10,"node":"e","event":"run_ordered","job":"j1",)"
        R"("run":"j1.0.0.0/1","agent":"a"})",
        R"({"time_ms":1510,"node":"a","event":"start_answered",)"
        R"("run":"j1.0.0.0/1","outcome":"done","reason":""})"};
    EXPECT_NE(explain("j1", late_start).find("lost 1.500 s: orders reached"),
              std::string::npos)
        << explain("j1", late_start);
}

// Guards against a wait that looks like a want of workers while a data centre
// was evacuated, and against naming an evacuation that was over by then.
TEST(explain, names_evacuations_that_a_job_waited_through)
{
    std::vector<std::string> const waited{
        R"({"time_ms":100,"event":"evacuation_requested","data_centre":"z1"})",
        R"({"time_ms":200,"event":"evacuation_withdrawn","data_centre":"z1"})",
        R"({"time_ms":900,"event":"evacuation_requested","data_centre":"z2"})",
        R"({"time_ms":1000,"node":"e","event":"job_queued","job":"j1"})",
        R"({"time_ms":3000,"node":"e","event":"run_ordered","job":"j1"})",
        R"({"time_ms":3100,"event":"evacuation_requested","data_centre":"z3"})",
    };
    EXPECT_NE(explain("j1", waited)
                  .find("evacuated while it waited for its first run: z2\n"),
              std::string::npos)
        << explain("j1", waited);
    EXPECT_EQ(explain("j1", lines).find("evacuated"), std::string::npos);
}

} // namespace
} // namespace sequoiaroute::programs
