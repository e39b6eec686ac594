#pragma once

#include "core/result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::programs {

/// A parsed command line without its flags, whose values are in the Abseil
/// flags of flags.hpp.
struct command_line
{
    std::string command; ///< such as "rules"; empty for general help
    std::vector<std::string> operands; ///< such as "apply" and a file
    bool wants_help = false;
};

/// Parses the arguments and sets the flags.
/// @param arguments the arguments after the program's name
/// @return the command line, or bad_request if the command is missing or
///         unknown, the command doesn't have a flag, or a flag's value is
///         missing or invalid
core::result<command_line>
parse_command_line(std::vector<std::string> const& arguments);

/// @param command a command; empty or unknown for an overview of all commands
/// @return the help text
std::string help_text(std::string_view command);

} // namespace sequoiaroute::programs
