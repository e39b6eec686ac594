#include "core/log.hpp"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace sequoiaroute::core {

namespace {

std::atomic<log_level> minimum_level{log_level::info};

std::string_view name(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

/// Appends a text in double quotes, with line feeds, quotes and backslashes
/// escaped.
void append_quoted(fmt::memory_buffer& line, std::string_view text)
{
    auto const output = fmt::appender(line);
    line.push_back('"');
    for (char const character : text) {
        if (character == '\n') {
            fmt::format_to(output, "\\n");
            continue;
        }
        if (character == '"' || character == '\\')
            line.push_back('\\');
        line.push_back(character);
    }
    line.push_back('"');
}

} // namespace

void set_log_level(log_level level)
{
    minimum_level = level;
}

void log(log_level level, std::string_view message,
         std::initializer_list<log_field> fields)
{
    if (level < minimum_level.load())
        return;
    auto const now = std::chrono::system_clock::now();
    auto const milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            now.time_since_epoch())
            .count() %
        1000;
    fmt::memory_buffer line;
    fmt::format_to(fmt::appender(line),
                   "{:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} message=",
                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                   milliseconds, name(level));
    append_quoted(line, message);
    for (auto const& [key, value] : fields) {
        fmt::format_to(fmt::appender(line), " {}=", key);
        append_quoted(line, value);
    }
    line.push_back('\n');
    // A single call, so that lines of several threads do not mix.
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace sequoiaroute::core
