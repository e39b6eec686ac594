#include "programs/command_line.hpp"

#include "programs/flags.hpp"

#include <algorithm>
#include <span>

#include <absl/flags/reflection.h>
#include <absl/strings/string_view.h>
#include <fmt/format.h>

namespace sequoiaroute::programs {

namespace {

struct command_description
{
    std::string_view name;
    std::string_view usage; ///< operands and required flags
    std::string_view purpose;
    std::vector<std::string_view> flags; ///< names of the accepted flags
};

std::span<command_description const> command_descriptions()
{
    static std::vector<command_description> const commands{
        {"serve", "serve --settings=FILE", "Runs an entry.", {"settings"}},
        {"schedule",
         "schedule --settings=FILE",
         "Runs an entry that keeps its jobs as rows of the store.",
         {"settings"}},
        {"explain",
         "explain ID FILE...",
         "Shows the timeline of one job from the event logs of all processes.",
         {}},
        {"report",
         "report FILE...",
         "Shows what jobs waited for and which work was lost to what, from the "
         "event logs of all processes.",
         {"json", "plot"}},
        {"rules",
         "rules check FILE | rules show | rules apply FILE --generation=N",
         "Checks, shows or applies the rule file. show prints the text to "
         "standard output and the generation to standard error; apply needs "
         "the generation from which the text was edited. check without "
         "--key_file only checks the syntax.",
         {"entries", "key_file", "json", "generation"}},
        {"submit",
         "submit request --service=NAME --body_file=FILE | submit job "
         "--kind=NAME --command=TEXT",
         "Submits an urgent request or a job.",
         {"entries",
          "key_file",
          "json",
          "request_id",
          "service",
          "body_file",
          "time_limit_ms",
          "unrepeatable",
          "urgent",
          "wait",
          "job_id",
          "kind",
          "command",
          "input_file",
          "within",
          "members",
          "cores",
          "memory_megabytes",
          "accelerators",
          "declared_run_time_seconds",
          "deadline_seconds"}},
        {"status",
         "status | status JOB | status --request_id=ID",
         "Shows the open jobs of the customer, one job, or the answer of a "
         "request.",
         {"entries", "key_file", "json", "watch", "request_id"}},
        {"cancel",
         "cancel JOB | cancel --queued",
         "Cancels a job, or all queued jobs of the customer.",
         {"entries", "key_file", "json", "queued"}},
        {"dump",
         "dump [--counters]",
         "Shows the state of an entry as JSON.",
         {"entries", "key_file", "json", "counters"}}};
    return commands;
}

/// @return the description of a command, null if it is unknown
command_description const* find_description(std::string_view name)
{
    auto const commands = command_descriptions();
    auto const found =
        std::find_if(commands.begin(), commands.end(),
                     [&](auto const& command) { return command.name == name; });
    return found == commands.end() ? nullptr : &*found;
}

core::error bad_request(std::string message)
{
    return {core::result_code::bad_request, std::move(message)};
}

absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Sets the flag that an argument names.
/// @param command the command, which must accept the flag
/// @param argument "--NAME", "--NAME=VALUE", or "--NAME" before its value
/// @param next the next argument, null if there is none
/// @return whether the next argument was used as the value, or bad_request
core::result<bool> set_flag(command_description const& command,
                            std::string_view argument, std::string const* next)
{
    auto const equals = argument.find('=');
    auto const name = argument.substr(2, equals - 2);
    if (std::find(command.flags.begin(), command.flags.end(), name) ==
        command.flags.end()) {
        return bad_request(fmt::format("{} has no flag --{}; see {} --help",
                                       command.name, name, command.name));
    }
    auto* const flag = absl::FindCommandLineFlag(to_absl(name));
    bool const is_switch = flag->IsOfType<bool>();
    bool const uses_next_argument =
        equals == std::string_view::npos && !is_switch;
    if (uses_next_argument && next == nullptr)
        return bad_request(fmt::format("flag --{} needs a value", name));
    std::string_view value = "true";
    if (uses_next_argument)
        value = *next;
    else if (equals != std::string_view::npos)
        value = argument.substr(equals + 1);
    std::string parse_error;
    if (!flag->ParseFrom(to_absl(value), &parse_error)) {
        return bad_request(
            fmt::format("flag --{}: \"{}\" is not valid", name, value));
    }
    return uses_next_argument;
}

std::string describe_flag(std::string_view name)
{
    auto const* const flag = absl::FindCommandLineFlag(to_absl(name));
    return fmt::format("  --{:<28}{}\n", name, flag->Help());
}

} // namespace

core::result<command_line>
parse_command_line(std::vector<std::string> const& arguments)
{
    command_line line;
    if (arguments.empty())
        return bad_request("no command is given; see --help");
    auto const is_help = [](auto const& argument) {
        return argument == "--help" || argument == "-h";
    };
    line.wants_help = std::any_of(arguments.begin(), arguments.end(), is_help);
    if (is_help(arguments[0]))
        return line;
    auto const* const command = find_description(arguments[0]);
    if (command == nullptr) {
        return bad_request(
            fmt::format("unknown command {}; see --help", arguments[0]));
    }
    line.command = arguments[0];
    for (std::size_t i = 1; i < arguments.size() && !line.wants_help; ++i) {
        if (!arguments[i].starts_with("--")) {
            line.operands.push_back(arguments[i]);
            continue;
        }
        auto const* const next =
            i + 1 < arguments.size() ? &arguments[i + 1] : nullptr;
        SEQUOIA_TRY_INTO(bool const took_next,
                         set_flag(*command, arguments[i], next));
        i += took_next ? 1 : 0;
    }
    return line;
}

std::string help_text(std::string_view command)
{
    std::string text;
    if (auto const* const description = find_description(command)) {
        text = fmt::format("usage: sequoiaroute {}\n\n{}\n\n",
                           description->usage, description->purpose);
        for (auto const flag : description->flags)
            text += describe_flag(flag);
    } else {
        text = "usage: sequoiaroute COMMAND [FLAGS]\n\n";
        for (auto const& known : command_descriptions())
            text += fmt::format("  {:<10}{}\n", known.name, known.purpose);
        text += "\nsequoiaroute COMMAND --help shows its flags.\n";
    }
    return text + "\nexit status: 0 done, 2 wrong input, 3 not run, 4 the work "
                  "did not succeed or its outcome is unknown, 5 internal "
                  "error\n";
}

} // namespace sequoiaroute::programs
