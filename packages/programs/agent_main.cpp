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
          "take orders from the store of rows instead of from entries");
ABSL_FLAG(bool, check, false, "only check the settings");

namespace {

using namespace sequoiaroute;

/// The C library makes an arena for every core otherwise, and each one keeps
/// freed memory of large bodies.
constexpr int memory_arenas = 2;

sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Threads started later inherit the mask, so only sigwait() sees them.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int report_error(core::error const& error)
{
    core::log(core::log_level::error, error.message,
              {{"code", std::string(core::name(error.code))}});
    return core::exit_status(error.code);
}

int run(workers::agent_settings const& settings, sigset_t const& signals)
{
    auto const process = workers::agent_process::create(settings);
    if (!is_ok(process))
        return report_error(failure(process));
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
    mallopt(M_ARENA_MAX, memory_arenas);
    if (absl::GetFlag(FLAGS_store_orders)) {
        auto const status = programs::run_store_agent(
            absl::GetFlag(FLAGS_settings), absl::GetFlag(FLAGS_check));
        return is_ok(status) ? EXIT_SUCCESS : report_error(failure(status));
    }
    auto const signals = block_stop_signals();
    auto const settings =
        workers::agent_settings::create(absl::GetFlag(FLAGS_settings));
    if (!is_ok(settings))
        return report_error(failure(settings));
    if (absl::GetFlag(FLAGS_check)) {
        std::puts("settings are correct");
        return EXIT_SUCCESS;
    }
    return run(value(settings), signals);
}
