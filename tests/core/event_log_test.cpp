#include "core/event_log.hpp"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

namespace sequoiaroute::core {
namespace {

/// Redirects standard output to a pipe during its lifetime.
class stdout_capture
{
public:
    stdout_capture()
    {
        EXPECT_EQ(pipe(pipe_), 0);
        saved_stdout_ = dup(STDOUT_FILENO);
        dup2(pipe_[1], STDOUT_FILENO);
    }
    stdout_capture(stdout_capture const&) = delete;
    stdout_capture& operator=(stdout_capture const&) = delete;
    ~stdout_capture()
    {
        dup2(saved_stdout_, STDOUT_FILENO);
        close(saved_stdout_);
        close(pipe_[0]);
        close(pipe_[1]);
    }

    std::string read_all() const
    {
        fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
        std::string text(1 << 20, '\0');
        auto const size = read(pipe_[0], text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }

private:
    int pipe_[2]{};
    int saved_stdout_ = -1;
};

TEST(event_log, writes_one_json_object_per_line)
{
    stdout_capture const output;
    set_event_source("entry-1", {1000, 1000});
    log_event("job_accepted", {{"job", "a\"b"}, {"tasks", 3}});
    auto const line = output.read_all();
    EXPECT_NE(line.find(R"("node":"entry-1","event":"job_accepted")"),
              std::string::npos);
    EXPECT_NE(line.find(R"("job":"a\"b","tasks":3)"), std::string::npos);
    EXPECT_EQ(line.back(), '\n');
}

// Guards against a scheduling decision that blocks because the process reading
// the log has stopped.
TEST(event_log, drops_lines_instead_of_blocking_on_a_full_pipe)
{
    stdout_capture const output;
    set_event_source("entry-1", {1'000'000, 1'000'000});
    auto const before = dropped_event_lines();
    for (int count = 0; count < 5000; ++count)
        log_event("flood", {{"text", std::string(100, 'x')}});
    EXPECT_GT(dropped_event_lines(), before);
    output.read_all();
    log_event("after", {});
    EXPECT_NE(output.read_all().find("log_lines_dropped"), std::string::npos);
}

// Guards against a log whose volume grows with the load.
TEST(event_log, limits_the_rate_of_lines)
{
    stdout_capture const output;
    set_event_source("entry-1", {10, 20});
    for (int count = 0; count < 200; ++count)
        log_event("flood", {});
    auto const text = output.read_all();
    EXPECT_LE(std::count(text.begin(), text.end(), '\n'), 30);
    EXPECT_GE(event_counts().at("flood"), 200);
}

// Guards against a history of a job that lacks its orders and ends because many
// other events were logged at the same time.
TEST(event_log, keeps_decisions_when_other_lines_are_dropped)
{
    stdout_capture const output;
    set_event_source("entry-1", {10, 20, 10, 50});
    for (int count = 0; count < 200; ++count)
        log_event("flood", {});
    for (int count = 0; count < 50; ++count)
        log_decision("run_ordered", {});
    auto const text = output.read_all();
    std::size_t decisions = 0;
    for (auto position = text.find("run_ordered");
         position != std::string::npos;
         position = text.find("run_ordered", position + 1))
        ++decisions;
    EXPECT_EQ(decisions, 50U);
}

} // namespace
} // namespace sequoiaroute::core
