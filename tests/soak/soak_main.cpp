#include "soak/fault_injector.hpp"
#include "soak/timeline_check.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

ABSL_FLAG(std::string, binaries, "build", "the build folder");
ABSL_FLAG(std::string, output, "", "where logs are kept; else a new folder");
ABSL_FLAG(std::uint64_t, seed, 1, "decides on faults and jobs");
ABSL_FLAG(int, seconds, 20, "how long the system is disturbed");
ABSL_FLAG(int, rest, 60, "how long it may take to come to rest");
ABSL_FLAG(std::size_t, entries, 3, "number of entries");
ABSL_FLAG(std::size_t, workers, 4, "number of workers");

namespace {

using namespace sequoiaroute;

constexpr core::duration settle_time{4000};
constexpr core::duration tick_period{50};
/// How long nothing may be wrong after the last job has ended.
constexpr core::duration quiet_time{1000};

std::filesystem::path make_directory()
{
    auto name = absl::GetFlag(FLAGS_output);
    if (name.empty()) {
        name =
            (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr)
            std::abort();
    }
    std::filesystem::create_directories(name);
    return name;
}

/// One run: the system settles, is disturbed, and comes to rest.
class soak_run
{
public:
    soak_run(event::event_loop& loop, std::unique_ptr<soak::test_system> system,
             soak::random_source& random, std::filesystem::path directory)
        : loop_(loop), system_(std::move(system)),
          faults_(loop, random, *system_), directory_(std::move(directory))
    {
    }

    /// @return whether all promises were kept
    bool run()
    {
        auto const tick = loop_.every(tick_period, [this] { check(); });
        auto const begin = loop_.after(settle_time, [this] {
            system_->callers().start();
            faults_.start();
        });
        auto const length = core::duration(1000) * absl::GetFlag(FLAGS_seconds);
        auto const end = loop_.after(settle_time + length, [this] {
            faults_.heal();
            system_->callers().finish();
            rest_from_ = loop_.now();
        });
        loop_.run();
        return report();
    }

private:
    void check()
    {
        system_->tick();
        if (!rest_from_)
            return;
        auto const now = loop_.now();
        if (!system_->callers().are_all_final())
            final_from_ = now;
        auto const limit = core::duration(1000) * absl::GetFlag(FLAGS_rest);
        if (now - final_from_ > quiet_time || now - *rest_from_ > limit) {
            rest_took_ = final_from_ - *rest_from_;
            loop_.stop();
        }
    }

    /// The logs have to tell the way of each completed job.
    void check_stories()
    {
        auto& checker = system_->checker();
        for (auto const& [id, job] : checker.jobs()) {
            if (!job.is_completed)
                continue;
            if (auto const gap = soak::find_gap(directory_, id))
                checker.on_gap_in_logs(*gap);
        }
    }

    bool report()
    {
        auto& checker = system_->checker();
        checker.check_rest();
        check_stories();
        std::size_t accepted = 0;
        for (auto const& [id, job] : checker.jobs())
            accepted += job.was_accepted ? 1 : 0;
        std::string faults;
        for (auto const& [kind, count] : faults_.counts())
            faults +=
                fmt::format("{}{} {}", faults.empty() ? "" : ", ", count, kind);
        fmt::print("{} jobs, {} accepted, {} starts; rest after {} ms\n{}\n",
                   checker.jobs().size(), accepted, checker.start_count(),
                   rest_took_.count(), faults);
        for (auto const& line : checker.broken())
            fmt::print("broken: {}\n", line);
        for (auto const& name : system_->processes().ended_by_themselves())
            fmt::print("broken: {} ended by itself\n", name);
        // A run in which nothing happened proves nothing.
        return checker.broken().empty() && accepted > 0 &&
               system_->processes().ended_by_themselves().empty();
    }

    event::event_loop& loop_;
    std::unique_ptr<soak::test_system> system_;
    soak::fault_injector faults_;
    std::filesystem::path directory_;
    std::optional<core::time_point> rest_from_;
    core::time_point final_from_{};
    core::duration rest_took_{0};
};

} // namespace

int main(int argument_count, char** arguments)
{
    absl::SetProgramUsageMessage(
        "Disturbs the system and checks its promises.");
    absl::ParseCommandLine(argument_count, arguments);
    std::signal(SIGPIPE, SIG_IGN);
    auto loop = event::event_loop::create();
    if (!core::is_ok(loop))
        return EXIT_FAILURE;
    auto const directory = make_directory();
    auto const seed = absl::GetFlag(FLAGS_seed);
    soak::random_source random(seed);
    auto system = soak::test_system::create(
        *core::value(loop), random, absl::GetFlag(FLAGS_binaries), directory,
        {absl::GetFlag(FLAGS_entries), absl::GetFlag(FLAGS_workers)});
    if (!core::is_ok(system)) {
        fmt::print("{}\n", core::failure(system).message);
        return EXIT_FAILURE;
    }
    soak_run run(*core::value(loop), core::value(std::move(system)), random,
                 directory);
    bool const is_kept = run.run();
    fmt::print("seed {}: {}, logs in {}\n", seed,
               is_kept ? "all promises kept" : "FAILED", directory.string());
    return is_kept ? EXIT_SUCCESS : EXIT_FAILURE;
}
