#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace sequoiaroute::core {

/// Severity of a log line, in ascending order.
enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// Key and value of a field of a log line.
using log_field = std::pair<std::string_view, std::string>;

/// Sets the minimum level of the lines that are written, initially info.
/// @param level the minimum level
void set_log_level(log_level level);

/// Writes a structured line to standard error: the time in UTC, level=,
/// message= and the fields as key="value".
/// @param level the severity
/// @param message a short sentence
/// @param fields the context, such as request, job and customer
void log(log_level level, std::string_view message,
         std::initializer_list<log_field> fields = {});

} // namespace sequoiaroute::core
