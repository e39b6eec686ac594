#include "core/log.hpp"
#include "http/civetweb_client.hpp"
#include "programs/client_commands.hpp"
#include "programs/command_line.hpp"
#include "programs/entry_process.hpp"
#include "programs/entry_settings.hpp"
#include "programs/explain_command.hpp"
#include "programs/flags.hpp"
#include "programs/report_command.hpp"
#include "programs/schedule_entry.hpp"

#include <cstdio>
#include <thread>
#include <vector>

#include <absl/flags/flag.h>
#include <fmt/format.h>

namespace sequoiaroute::programs {

namespace {

core::result<core::log_level> parse_log_level(std::string const& text)
{
    using core::log_level;
    std::pair<char const*, log_level> const levels[] = {
        {"debug", log_level::debug},
        {"info", log_level::info},
        {"warning", log_level::warning},
        {"error", log_level::error}};
    for (auto const& [name, level] : levels) {
        if (name == text)
            return level;
    }
    return core::error{core::result_code::bad_settings,
                       fmt::format("key log.level: \"{}\" is not debug, info, "
                                   "warning or error",
                                   text)};
}

/// Runs an entry until a stop signal arrives.
core::status run_serve()
{
    stop_signal const signal;
    SEQUOIA_TRY_INTO(auto settings,
                     read_entry_settings(absl::GetFlag(FLAGS_settings)));
    SEQUOIA_TRY_INTO(auto const level,
                     parse_log_level(settings.text("log.level")));
    core::set_log_level(level);
    SEQUOIA_TRY_INTO(auto const process,
                     entry_process::create(std::move(settings)));
    process->run(signal);
    return core::success();
}

/// Runs a command that calls entries.
core::status run_client(command_line const& line)
{
    SEQUOIA_TRY_INTO(auto key, read_key(absl::GetFlag(FLAGS_key_file)));
    http::civetweb_client client;
    core::system_clock const clock;
    callers::api_client api(
        client, clock,
        [](core::duration delay) { std::this_thread::sleep_for(delay); },
        {absl::GetFlag(FLAGS_entries), key});
    failover_client entries(client, absl::GetFlag(FLAGS_entries),
                            std::move(key));
    if (line.command == "rules")
        return run_rules(line, entries);
    if (line.command == "submit")
        return run_submit(line, api, entries);
    if (line.command == "status")
        return run_status(line, api, entries);
    if (line.command == "cancel")
        return run_cancel(line, entries);
    return run_dump(line, entries);
}

/// Prints an error to standard error and, with --json, to standard output.
void print_error(core::error const& failure)
{
    if (absl::GetFlag(FLAGS_json)) {
        core::json const body{{"code", static_cast<int>(failure.code)},
                              {"name", core::name(failure.code)},
                              {"message", failure.message}};
        fmt::print("{}\n", body.dump(-1, ' ', false,
                                     core::json::error_handler_t::replace));
    }
    fmt::print(stderr, "sequoiaroute: {} ({}): {}\n", core::name(failure.code),
               static_cast<int>(failure.code), failure.message);
}

core::status run(std::vector<std::string> const& arguments)
{
    SEQUOIA_TRY_INTO(auto const line, parse_command_line(arguments));
    if (line.wants_help) {
        fmt::print("{}", help_text(line.command));
        return core::success();
    }
    if (line.command == "explain")
        return run_explain(line.operands);
    if (line.command == "report")
        return run_report(line.operands);
    if (line.command == "schedule")
        return run_schedule_entry(absl::GetFlag(FLAGS_settings));
    return line.command == "serve" ? run_serve() : run_client(line);
}

} // namespace

} // namespace sequoiaroute::programs

int main(int argument_count, char** arguments)
{
    using namespace sequoiaroute;
    auto const status = programs::run(
        std::vector<std::string>(arguments + 1, arguments + argument_count));
    if (!core::is_ok(status))
        programs::print_error(core::failure(status));
    std::fflush(stdout);
    return core::exit_status(core::code_of(status));
}
