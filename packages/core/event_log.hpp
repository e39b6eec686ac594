#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace sequoiaroute::core {

/// The value of a field of an event.
using event_value = std::variant<std::int64_t, std::string>;

/// Key and value of a field of an event.
using event_field = std::pair<std::string_view, event_value>;

/// Rate limit of the event log, a token bucket for decisions and one for other
/// events. Lines beyond it are dropped; the next line that can be written is
/// followed by a log_lines_dropped event with the number of dropped lines.
struct event_log_limits
{
    std::int64_t lines_per_second = 150; ///< sustained rate
    std::int64_t burst_lines = 600;      ///< size of the token bucket
    /// The same for decisions. A decider orders and ends hundreds of runs a
    /// second when all workers of a large fleet are filled at once.
    std::int64_t decision_lines_per_second = 600;
    std::int64_t decision_burst_lines = 4000;
};

/// Sets the name and the rate limit of this process, and fills the token
/// bucket.
/// @param node the name of the process, written as "node" in every line
/// @param limits the rate limit
void set_event_source(std::string node, event_log_limits limits = {});

/// Writes an event to standard output, as a JSON object on a line. Never
/// blocks: if the rate limit is exceeded, the pipe is full or the line is
/// longer than a pipe accepts at once, the line is dropped and counted.
/// @param event the type of the event, such as "job_accepted"
/// @param fields ids, the inputs of a decision and its outcome, written after
///        the fields time_ms (since the Unix epoch), node and event
void log_event(std::string_view event,
               std::initializer_list<event_field> fields);

/// Writes a decision about a job or a run. As log_event(), but with a rate
/// limit of its own, so that other events cannot displace the lines from which
/// the history of a job is told.
/// @param event the type of the event, such as "run_ordered"
/// @param fields as for log_event()
void log_decision(std::string_view event,
                  std::initializer_list<event_field> fields);

/// @return the number of log_event() and log_decision() calls by type of event,
/// including those
///         whose line was dropped
std::map<std::string, std::int64_t> event_counts();

/// @return the number of lines dropped since the process started
std::int64_t dropped_event_lines();

} // namespace sequoiaroute::core
