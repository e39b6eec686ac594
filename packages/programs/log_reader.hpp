#pragma once

#include "core/json.hpp"
#include "core/result.hpp"

#include <cstdint>
#include <fstream>
#include <istream>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::programs {

/// An event of the event log of a process.
struct logged_event
{
    std::int64_t time_ms = 0; ///< since the Unix epoch
    std::string node;         ///< the process that logged it
    std::string type;         ///< such as "run_ordered"
    core::json fields;        ///< the whole line

    /// @return a text field; empty if it is missing or has another type
    std::string text(char const* name) const;

    /// @return an integer field; 0 if it is missing or has another type
    std::int64_t number(char const* name) const;
};

/// Parses a line of an event log. Text in front of the object, which a log
/// collector may add, is skipped.
/// @return the event, or bad_request if the line is none
core::result<logged_event> parse_event(std::string_view line);

/// Reads the event logs of several processes as one stream in order of time.
/// Each log must be in order of time by itself; only one line of each is in
/// memory. Lines that are no events, such as one that was cut, are skipped.
class log_reader
{
public:
    /// @param paths the files
    /// @return the reader, or bad_request if a file cannot be read
    static core::result<std::unique_ptr<log_reader>>
    create(std::vector<std::string> const& paths);

    /// @param logs the logs to read
    explicit log_reader(std::vector<std::unique_ptr<std::istream>> logs);

    /// Reads the next event.
    /// @param event receives the event
    /// @return false at the end of all logs
    bool next(logged_event& event);

    /// @return the number of lines skipped so far
    std::int64_t skipped_lines() const { return skipped_lines_; }

private:
    struct source
    {
        std::unique_ptr<std::istream> log;
        logged_event next;
        bool is_at_end = false;
    };

    void advance(source& log);

    std::vector<source> sources_;
    std::int64_t skipped_lines_ = 0;
};

} // namespace sequoiaroute::programs
