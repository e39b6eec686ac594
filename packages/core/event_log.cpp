#include "core/event_log.hpp"

#include "core/json.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace sequoiaroute::core {

namespace {

/// PIPE_BUF of Linux: a pipe that polls as writable accepts a write of up to
/// this size without blocking.
constexpr std::size_t max_line_bytes = 4096;

/// The event log of the process.
struct log_state
{
    std::mutex mutex;
    std::string node;
    event_log_limits limits;
    double tokens = 600; ///< lines that may be written now; see limits
    std::chrono::steady_clock::time_point refilled_at =
        std::chrono::steady_clock::now();
    std::int64_t dropped_lines = 0; ///< since the process started
    /// The part of dropped_lines that log_lines_dropped events have reported.
    std::int64_t reported_dropped_lines = 0;
    std::map<std::string, std::int64_t, std::less<>> calls_by_event;
};

log_state& state()
{
    static log_state instance;
    return instance;
}

/// Refills the token bucket for the time since the last call.
/// @return false if the rate limit is exceeded
bool consume_token(log_state& log)
{
    auto const now = std::chrono::steady_clock::now();
    std::chrono::duration<double> const elapsed = now - log.refilled_at;
    log.refilled_at = now;
    log.tokens = std::min(
        static_cast<double>(log.limits.burst_lines),
        log.tokens +
            elapsed.count() * static_cast<double>(log.limits.lines_per_second));
    if (log.tokens < 1)
        return false;
    log.tokens -= 1;
    return true;
}

/// Writes a line to standard output without blocking.
/// @return false if the line is too long or the output buffer is full
bool write_line(std::string line)
{
    line.push_back('\n');
    if (line.size() > max_line_bytes)
        return false;
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
        return false;
    return write(STDOUT_FILENO, line.data(), line.size()) ==
           static_cast<ssize_t>(line.size());
}

std::string format_line(std::string const& node, std::string_view event,
                        std::initializer_list<event_field> fields)
{
    auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    nlohmann::ordered_json line{
        {"time_ms", now.count()}, {"node", node}, {"event", event}};
    for (auto const& field : fields) {
        auto& json_value = line[std::string(field.first)];
        std::visit([&](auto const& alternative) { json_value = alternative; },
                   field.second);
    }
    return line.dump(-1, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

void set_event_source(std::string node, event_log_limits limits)
{
    auto& log = state();
    std::lock_guard const lock(log.mutex);
    log.node = std::move(node);
    log.limits = limits;
    log.tokens = static_cast<double>(limits.burst_lines);
}

void log_event(std::string_view event,
               std::initializer_list<event_field> fields)
{
    auto& log = state();
    std::lock_guard const lock(log.mutex);
    auto const found = log.calls_by_event.find(event);
    if (found == log.calls_by_event.end())
        log.calls_by_event.emplace(event, 1);
    else
        ++found->second;
    if (!consume_token(log) ||
        !write_line(format_line(log.node, event, fields))) {
        ++log.dropped_lines;
        return;
    }
    if (log.dropped_lines == log.reported_dropped_lines)
        return;
    auto const unreported_lines =
        log.dropped_lines - log.reported_dropped_lines;
    if (write_line(format_line(log.node, "log_lines_dropped",
                               {{"count", unreported_lines}})))
        log.reported_dropped_lines = log.dropped_lines;
}

std::map<std::string, std::int64_t> event_counts()
{
    auto& log = state();
    std::lock_guard const lock(log.mutex);
    return {log.calls_by_event.begin(), log.calls_by_event.end()};
}

std::int64_t dropped_event_lines()
{
    auto& log = state();
    std::lock_guard const lock(log.mutex);
    return log.dropped_lines;
}

} // namespace sequoiaroute::core
