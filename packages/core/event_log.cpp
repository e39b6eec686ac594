#include "core/event_log.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace sequoiaroute::core {

namespace {

/// A pipe that polls as writable takes this much without blocking.
constexpr std::size_t longest_line = 4096;

struct log_state
{
    std::mutex mutex;
    std::string node;
    event_log_limits limits;
    double tokens = 600;
    std::chrono::steady_clock::time_point refilled_at =
        std::chrono::steady_clock::now();
    std::int64_t dropped = 0;
    std::int64_t reported_dropped = 0;
    std::map<std::string, std::int64_t, std::less<>> counts;
};

log_state& state()
{
    static log_state instance;
    return instance;
}

bool take_token(log_state& log)
{
    auto const now = std::chrono::steady_clock::now();
    std::chrono::duration<double> const passed = now - log.refilled_at;
    log.refilled_at = now;
    log.tokens = std::min(
        static_cast<double>(log.limits.burst_lines),
        log.tokens +
            passed.count() * static_cast<double>(log.limits.lines_per_second));
    if (log.tokens < 1)
        return false;
    log.tokens -= 1;
    return true;
}

bool write_line(std::string line)
{
    line.push_back('\n');
    if (line.size() > longest_line)
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
        auto& target = line[std::string(field.first)];
        std::visit([&](auto const& plain) { target = plain; }, field.second);
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
    auto const counted = log.counts.find(event);
    if (counted == log.counts.end())
        log.counts.emplace(event, 1);
    else
        ++counted->second;
    if (!take_token(log) || !write_line(format_line(log.node, event, fields))) {
        ++log.dropped;
        return;
    }
    if (log.dropped == log.reported_dropped)
        return;
    auto const missing = log.dropped - log.reported_dropped;
    if (write_line(
            format_line(log.node, "log_lines_dropped", {{"count", missing}})))
        log.reported_dropped = log.dropped;
}

std::map<std::string, std::int64_t> event_counts()
{
    auto& log = state();
    std::lock_guard const lock(log.mutex);
    return {log.counts.begin(), log.counts.end()};
}

std::int64_t dropped_event_lines()
{
    auto& log = state();
    std::lock_guard const lock(log.mutex);
    return log.dropped;
}

} // namespace sequoiaroute::core
