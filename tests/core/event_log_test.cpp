#include "core/event_log.hpp"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

namespace sequoiaroute::core {
namespace {

/// Puts a pipe in the place of standard output while it lives.
class captured_output
{
public:
    captured_output()
    {
        EXPECT_EQ(pipe(ends_), 0);
        saved_ = dup(STDOUT_FILENO);
        dup2(ends_[1], STDOUT_FILENO);
    }
    captured_output(captured_output const&) = delete;
    captured_output& operator=(captured_output const&) = delete;
    ~captured_output()
    {
        dup2(saved_, STDOUT_FILENO);
        close(saved_);
        close(ends_[0]);
        close(ends_[1]);
    }

    std::string read_all() const
    {
        fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        std::string text(1 << 20, '\0');
        auto const size = read(ends_[0], text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }

private:
    int ends_[2]{};
    int saved_ = -1;
};

TEST(event_log, writes_one_object_a_line)
{
    captured_output const output;
    set_event_source("entry-1", {1000, 1000});
    log_event("job_accepted", {{"job", "a\"b"}, {"tasks", 3}});
    auto const line = output.read_all();
    EXPECT_NE(line.find(R"("node":"entry-1","event":"job_accepted")"),
              std::string::npos);
    EXPECT_NE(line.find(R"("job":"a\"b","tasks":3)"), std::string::npos);
    EXPECT_EQ(line.back(), '\n');
}

// Guards against a decision that waits for the reader of the log.
TEST(event_log, never_waits_for_a_reader_that_has_stopped)
{
    captured_output const output;
    set_event_source("entry-1", {1'000'000, 1'000'000});
    auto const before = dropped_event_lines();
    for (int count = 0; count < 5000; ++count)
        log_event("flood", {{"text", std::string(100, 'x')}});
    EXPECT_GT(dropped_event_lines(), before);
    output.read_all();
    log_event("after", {});
    EXPECT_NE(output.read_all().find("log_lines_dropped"), std::string::npos);
}

// Guards against a log that grows with the load.
TEST(event_log, bounds_the_lines_of_a_second)
{
    captured_output const output;
    set_event_source("entry-1", {10, 20});
    for (int count = 0; count < 200; ++count)
        log_event("flood", {});
    auto const text = output.read_all();
    EXPECT_LE(std::count(text.begin(), text.end(), '\n'), 30);
    EXPECT_GE(event_counts().at("flood"), 200);
}

} // namespace
} // namespace sequoiaroute::core
