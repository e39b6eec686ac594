#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace sequoiaroute::core {

using event_value = std::variant<std::int64_t, std::string>;

/// One key and value of an event line.
using event_field = std::pair<std::string_view, event_value>;

/// Bounds of the event log.
struct event_log_limits
{
    /// Lines a second in the long run, and at once. What goes beyond is
    /// dropped; the number of dropped lines is written later.
    std::int64_t lines_per_second = 150;
    std::int64_t burst_lines = 600;
};

/// Names this process in every line.
/// @param node the name of the process
/// @param limits bounds of the log
void set_event_source(std::string node, event_log_limits limits = {});

/// Writes one JSON object as a line to standard output. The call never blocks:
/// a line that the reader of the output has no room for is dropped and
/// counted.
/// @param event the type of the event, such as "job_accepted"
/// @param fields ids, the inputs of the decision and the outcome
void log_event(std::string_view event,
               std::initializer_list<event_field> fields);

/// @return how often each type of event was logged or dropped
std::map<std::string, std::int64_t> event_counts();

/// @return the number of lines that were dropped since the process started
std::int64_t dropped_event_lines();

} // namespace sequoiaroute::core
