#include "soak/unfinished_job.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <gmock/gmock.h>

namespace sequoiaroute::soak {
namespace {

using testing::HasSubstr;
using testing::Not;

std::string make_line(std::int64_t time_ms, std::string const& event,
                      std::string const& fields)
{
    return fmt::format(R"({{"time_ms":{},"node":"n","event":"{}",{}}})",
                       time_ms, event, fields);
}

/// @return a line of the decider on a run of job j
std::string make_run_line(std::int64_t time_ms, std::string const& event,
                          std::string const& run)
{
    return make_line(
        time_ms, event,
        fmt::format(R"("job":"j","run":"{}","agent":"agent-1")", run));
}

std::size_t count_lines(std::string const& text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

// Guards against a failure whose cause cannot be found, since the logs of a CI
// machine are gone: the incarnations of the executor show why a run never ends.
TEST(unfinished_job, shows_runs_that_have_not_ended_and_their_executors)
{
    std::vector<std::string> const lines{
        make_run_line(30, "run_ordered", "j.0.0.1/1"),
        make_run_line(10, "run_ordered", "j.0.0.0/1"),
        make_run_line(20, "run_ended", "j.0.0.0/1"),
        make_line(40, "stop_answered", R"("run":"j.0.0.1/1","outcome":"busy")"),
        make_line(50, "executor_joined", R"("agent":"agent-1","born_ms":7)"),
        make_line(60, "executor_joined", R"("agent":"agent-2","born_ms":8)"),
        "no event"};
    auto const text = describe_unfinished_job("j", lines);
    EXPECT_THAT(text, Not(HasSubstr("j.0.0.0/1")));
    EXPECT_THAT(text, HasSubstr("stop_answered"));
    EXPECT_THAT(text, HasSubstr("\"born_ms\":7"));
    EXPECT_THAT(text, Not(HasSubstr("\"born_ms\":8")));
    EXPECT_LT(text.find("run_ordered"), text.find("stop_answered"));
}

// Guards against an empty description of a job that waits for a worker.
TEST(unfinished_job, shows_a_job_all_of_whose_runs_have_ended)
{
    std::vector<std::string> const lines{
        make_line(5, "job_queued", R"("job":"j")"),
        make_run_line(10, "run_ordered", "j.0.0.0/1"),
        make_run_line(20, "run_ended", "j.0.0.0/1")};
    EXPECT_EQ(count_lines(describe_unfinished_job("j", lines)), 3U);
}

// Guards against output that hides the other results of a test run.
TEST(unfinished_job, shows_the_last_lines_only)
{
    std::vector<std::string> lines(500);
    for (std::size_t time = 0; time < lines.size(); ++time)
        lines[time] = make_line(static_cast<std::int64_t>(time), "job_queued",
                                R"("job":"j")");
    auto const text = describe_unfinished_job("j", lines);
    EXPECT_EQ(count_lines(text), 40U);
    EXPECT_THAT(text, HasSubstr("\"time_ms\":499"));
}

} // namespace
} // namespace sequoiaroute::soak
