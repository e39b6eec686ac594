#include "core/log.hpp"
#include "programs/store_agent.hpp"
#include "workers/agent_process.hpp"
#include "workers/agent_settings.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <malloc.h>
#include <pthread.h>

ABSL_FLAG(std::string, settings, "", "INI file with the settings of the agent");
ABSL_FLAG(bool, store_orders, false,
          "read orders from rows of the store instead of receiving them from "
          "entries");
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace {

using namespace sequoiaroute;

/// By default, the C library creates an arena for every core, and each arena
/// retains the freed memory of large bodies.
constexpr int max_malloc_arenas = 2;

/// Blocks SIGTERM and SIGINT in this thread and in those that it starts later,
/// so that only sigwait() receives them.
/// @return the blocked signals
sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/// Logs an error.
/// @return the exit status for it
int log_failure(core::error const& error)
{
    core::log(core::log_level::error, error.message,
              {{"code", std::string(core::name(error.code))}});
    return core::exit_status(error.code);
}

/// Runs the agent until a stop signal arrives, then drains it.
/// @param signals the blocked stop signals
/// @return the exit status
int run(workers::agent_settings const& settings, sigset_t const& signals)
{
    auto const process = workers::agent_process::create(settings);
    if (!is_ok(process))
        return log_failure(failure(process));
    int signal = 0;
    sigwait(&signals, &signal);
    value(process)->drain();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argument_count, char** arguments)
{
    absl::SetProgramUsageMessage(
        "Runs the agent beside one executor or worker.");
    absl::ParseCommandLine(argument_count, arguments);
    mallopt(M_ARENA_MAX, max_malloc_arenas);
    if (absl::GetFlag(FLAGS_store_orders)) {
        auto const status = programs::run_store_agent(
            absl::GetFlag(FLAGS_settings), absl::GetFlag(FLAGS_check));
        return is_ok(status) ? EXIT_SUCCESS : log_failure(failure(status));
    }
    auto const signals = block_stop_signals();
    auto const settings =
        workers::agent_settings::create(absl::GetFlag(FLAGS_settings));
    if (!is_ok(settings))
        return log_failure(failure(settings));
    if (absl::GetFlag(FLAGS_check)) {
        std::puts("settings are correct");
        return EXIT_SUCCESS;
    }
    return run(value(settings), signals);
}
