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

/// Limits the rate of lines.
struct token_bucket
{
    double lines_per_second = 0;
    double size = 0;
    double tokens = 0; ///< lines that may be written now
    std::chrono::steady_clock::time_point refilled_at{};

    void reset(std::int64_t rate, std::int64_t burst)
    {
        lines_per_second = static_cast<double>(rate);
        size = static_cast<double>(burst);
        tokens = size;
        refilled_at = std::chrono::steady_clock::now();
    }

    /// Refills the bucket for the time since the last call.
    /// @return false if the rate limit is exceeded
    bool consume()
    {
        auto const now = std::chrono::steady_clock::now();
        std::chrono::duration<double> const elapsed = now - refilled_at;
        refilled_at = now;
        tokens = std::min(size, tokens + elapsed.count() * lines_per_second);
        if (tokens < 1)
            return false;
        tokens -= 1;
        return true;
    }
};

/// The event log of the process.
struct log_state
{
    log_state() { set_limits({}); }

    void set_limits(event_log_limits const& limits)
    {
        events.reset(limits.lines_per_second, limits.burst_lines);
        decisions.reset(limits.decision_lines_per_second,
                        limits.decision_burst_lines);
    }

    std::mutex mutex;
    std::string node;
    token_bucket events;
    token_bucket decisions;
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
    log.set_limits(limits);
}

namespace {

/// @param bucket the rate limit that applies to the event
void write_event(token_bucket log_state::*bucket, std::string_view event,
                 std::initializer_list<event_field> fields)
{
    auto& log = state();
    std::lock_guard const lock(log.mutex);
    auto const found = log.calls_by_event.find(event);
    if (found == log.calls_by_event.end())
        log.calls_by_event.emplace(event, 1);
    else
        ++found->second;
    if (!(log.*bucket).consume() ||
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

} // namespace

void log_event(std::string_view event,
               std::initializer_list<event_field> fields)
{
    write_event(&log_state::events, event, fields);
}

void log_decision(std::string_view event,
                  std::initializer_list<event_field> fields)
{
    write_event(&log_state::decisions, event, fields);
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
