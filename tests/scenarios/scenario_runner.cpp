// Runs one scenario test: scenario_runner --binaries=DIR [--seed=N] FILE.lua
// Exits with 0 if it has passed, 1 if it has failed, 2 for a usage error.
#include "scenarios/scenario.hpp"

#include <csignal>
#include <cstdio>
#include <exception>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, binaries, "build", "the build directory");
ABSL_FLAG(std::string, library, "",
          "the directory of verbs.lua; \"lib\" beside the scenario by default");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the verb random()");
// Below the 120 s after which ctest kills the runner, so that the runner can
// print the output of its processes and kill them.
ABSL_FLAG(int, time_limit_seconds, 105,
          "time limit of the scenario in seconds");

int main(int argument_count, char** arguments)
{
    using namespace sequoiaroute;
    auto const files = absl::ParseCommandLine(argument_count, arguments);
    if (files.size() != 2) {
        std::fprintf(stderr, "usage: scenario_runner --binaries=DIR "
                             "[--seed=N] FILE.lua\n");
        return 2;
    }
    std::signal(SIGTERM, [](int) { scenarios::scenario::interrupt(); });
    std::signal(SIGINT, [](int) { scenarios::scenario::interrupt(); });
    try {
        scenarios::scenario_options options;
        options.binaries =
            std::filesystem::absolute(absl::GetFlag(FLAGS_binaries));
        options.file = std::filesystem::absolute(files[1]);
        auto const library = absl::GetFlag(FLAGS_library);
        options.library = library.empty() ? options.file.parent_path() / "lib"
                                          : std::filesystem::absolute(library);
        options.seed = absl::GetFlag(FLAGS_seed);
        options.time_limit =
            std::chrono::seconds(absl::GetFlag(FLAGS_time_limit_seconds));
        std::fprintf(stderr, "seed: %llu\n",
                     static_cast<unsigned long long>(options.seed));
        scenarios::scenario scenario(options);
        bool const has_passed = scenario.run();
        std::fprintf(stderr, "%s\n", has_passed ? "passed" : "FAILED");
        return has_passed ? 0 : 1;
    } catch (std::exception const& exception) {
        std::fprintf(stderr, "failed: %s\n", exception.what());
        return 1;
    }
}
