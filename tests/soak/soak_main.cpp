#include "soak/fault_injector.hpp"
#include "soak/output_lines.hpp"
#include "soak/processor_limiter.hpp"
#include "soak/timeline_check.hpp"
#include "soak/unfinished_job.hpp"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <optional>
#include <span>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

ABSL_FLAG(std::string, binaries, "build", "the build directory");
ABSL_FLAG(std::string, output, "",
          "directory for logs; a new temporary one if empty");
ABSL_FLAG(std::uint64_t, seed, 1, "the seed that decides on faults and jobs");
ABSL_FLAG(int, seconds, 20, "for how many seconds faults are injected");
ABSL_FLAG(int, rest, 60,
          "how many seconds all jobs may take to end after that");
ABSL_FLAG(std::size_t, entries, 3, "number of entries");
ABSL_FLAG(std::size_t, workers, 4, "number of workers");
ABSL_FLAG(std::string, faults, "all",
          "all, store_outages, stale_reads, cut_off_workers, executors, "
          "processes, machines, mixed or evacuations; see README.md");
ABSL_FLAG(int, lease_ms, 2000, "the longest lease that executors grant");
ABSL_FLAG(int, stop_ms, 300, "the longest time that executors take for a stop");
ABSL_FLAG(int, work_ms, 2500, "the longest work time of a task");
ABSL_FLAG(double, processor_share, 1,
          "the share of a core that each entry and agent gets; 1: no limit");
ABSL_FLAG(double, wide_jobs, 0,
          "share of the jobs that have hundreds of short tasks");
ABSL_FLAG(double, gangs, 0.4, "share of the other jobs whose steps are gangs");

namespace {

using namespace sequoiaroute;
using fault_selection = soak::fault_injector::selection;

/// How long the processes may start up before the first fault and job.
constexpr core::duration startup_time{4000};
constexpr core::duration tick_period{50};
/// The time within which the platform wants an accepted job to be visible. It
/// is as long as reads are stale.
constexpr core::duration max_visibility_delay{3000};
/// How long the system is still observed after the last job has ended.
constexpr core::duration observation_time{1000};
constexpr std::size_t max_described_jobs = 3;

/// @return the current time by the clock of the logs, in milliseconds
std::int64_t log_time_ms()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<core::duration>(now).count();
}

/// @return the directory for logs, which now exists
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

std::optional<fault_selection> parse_faults(std::string const& name)
{
    static std::map<std::string, fault_selection> const selections{
        {"all", fault_selection::all},
        {"store_outages", fault_selection::store_outages},
        {"stale_reads", fault_selection::stale_reads},
        {"cut_off_workers", fault_selection::cut_off_workers},
        {"executors", fault_selection::executors},
        {"processes", fault_selection::processes},
        {"machines", fault_selection::machines},
        {"mixed", fault_selection::mixed},
        {"evacuations", fault_selection::evacuations}};
    auto const found = selections.find(name);
    if (found == selections.end())
        return std::nullopt;
    return found->second;
}

/// One run of the soak test: waits until the system has started, injects faults
/// under load, then heals all faults and waits until every job has ended.
class soak_run
{
public:
    soak_run(event::event_loop& loop, std::unique_ptr<soak::test_system> system,
             soak::random_source& random, fault_selection faults,
             std::filesystem::path directory)
        : loop_(loop), system_(std::move(system)),
          fault_injector_(loop, random, *system_, faults),
          processor_limiter_(loop, absl::GetFlag(FLAGS_processor_share)),
          directory_(std::move(directory))
    {
    }

    /// Runs the event loop until the test is over, and prints the results.
    /// @return whether all invariants held
    bool run()
    {
        limit_processors();
        auto const tick_timer = loop_.every(tick_period, [this] { tick(); });
        auto const load_timer = loop_.after(startup_time, [this] {
            system_->customers().start();
            fault_injector_.start();
        });
        auto const fault_time =
            core::duration(1000) * absl::GetFlag(FLAGS_seconds);
        auto const end = loop_.after(startup_time + fault_time, [this] {
            fault_injector_.heal();
            system_->customers().finish();
            healed_at_ = loop_.now();
        });
        loop_.run();
        return report();
    }

private:
    void limit_processors()
    {
        std::vector<soak::processor_limiter::set_stopped_function> processes;
        for (auto* const group : {&system_->entries(), &system_->agents()}) {
            for (auto& target : *group)
                processes.emplace_back([this, &target](bool is_stopped) {
                    system_->set_waiting_for_turn(target, is_stopped);
                });
        }
        processor_limiter_.start(std::move(processes));
    }

    /// Ends the run once all jobs have ended, or their time limit has passed.
    void tick()
    {
        system_->tick();
        if (!healed_at_)
            return;
        auto const now = loop_.now();
        if (!system_->customers().are_all_final())
            last_unfinished_at_ = now;
        auto const limit = core::duration(1000) * absl::GetFlag(FLAGS_rest);
        if (now - last_unfinished_at_ > observation_time ||
            now - *healed_at_ > limit) {
            recovery_time_ = last_unfinished_at_ - *healed_at_;
            loop_.stop();
        }
    }

    /// The logs must show a complete timeline of each completed job. Those of
    /// wide jobs may lack lines, since the number of lines is limited.
    void check_timelines(std::span<std::string const> lines)
    {
        auto& checker = system_->checker();
        for (auto const& [id, job] : checker.jobs()) {
            if (!job.is_completed || job.is_wide)
                continue;
            if (auto const gap = soak::find_timeline_gap(id, lines))
                checker.on_timeline_gap(*gap);
        }
    }

    /// Prints what the logs show of accepted jobs that have not ended. The
    /// logs of a CI machine are not kept.
    void print_unfinished_jobs(std::span<std::string const> lines)
    {
        std::size_t printed = 0;
        for (auto const& [id, job] : system_->checker().jobs()) {
            if (!job.was_accepted || job.is_cancelled || job.is_completed)
                continue;
            if (printed++ == max_described_jobs)
                return;
            fmt::print("job {}, last lines of the logs:\n{}", id,
                       soak::describe_unfinished_job(id, lines));
        }
    }

    /// Runs the final checks and prints the results.
    /// @return whether all invariants held
    bool report()
    {
        auto& checker = system_->checker();
        auto const lines = soak::read_output_lines(directory_);
        checker.check_final_state();
        check_timelines(lines);
        std::size_t accepted = 0;
        for (auto const& [id, job] : checker.jobs())
            accepted += job.was_accepted ? 1 : 0;
        std::string fault_summary;
        for (auto const& [kind, count] : fault_injector_.counts())
            fault_summary += fmt::format(
                "{}{} {}", fault_summary.empty() ? "" : ", ", count, kind);
        fmt::print("{} jobs, {} accepted, {} starts; at rest after {} ms\n{}\n",
                   checker.jobs().size(), accepted, checker.start_count(),
                   recovery_time_.count(), fault_summary);
        for (auto const& violation : checker.violations())
            fmt::print("broken invariant: {}\n", violation);
        print_unfinished_jobs(lines);
        auto const exits = system_->processes().reap_unexpected_exits();
        for (auto const& name : exits)
            fmt::print("broken invariant: {} ended by itself\n", name);
        // Without accepted jobs the run has tested nothing.
        return checker.violations().empty() && accepted > 0 && exits.empty();
    }

    event::event_loop& loop_;
    std::unique_ptr<soak::test_system> system_;
    soak::fault_injector fault_injector_;
    soak::processor_limiter processor_limiter_;
    std::filesystem::path directory_;
    std::optional<core::time_point> healed_at_;
    /// When an accepted job was last seen not to have ended.
    core::time_point last_unfinished_at_{};
    core::duration recovery_time_{0}; ///< from healing to the end of all jobs
};

} // namespace

int main(int argument_count, char** arguments)
{
    absl::SetProgramUsageMessage(
        "Injects faults into the system and checks its invariants.");
    absl::ParseCommandLine(argument_count, arguments);
    std::signal(SIGPIPE, SIG_IGN);
    auto loop = event::event_loop::create();
    if (!core::is_ok(loop))
        return EXIT_FAILURE;
    auto const faults = parse_faults(absl::GetFlag(FLAGS_faults));
    if (!faults) {
        fmt::print("--faults must be all, store_outages, stale_reads, "
                   "cut_off_workers, executors, processes, machines, mixed or\n"
                   "evacuations\n");
        return EXIT_FAILURE;
    }
    if (absl::GetFlag(FLAGS_processor_share) <= 0) {
        fmt::print("--processor_share must be greater than 0\n");
        return EXIT_FAILURE;
    }
    auto const directory = make_directory();
    auto const seed = absl::GetFlag(FLAGS_seed);
    soak::random_source random(seed);
    auto const begun_at_ms = log_time_ms();
    auto system = soak::test_system::create(
        *core::value(loop), random, absl::GetFlag(FLAGS_binaries), directory,
        {absl::GetFlag(FLAGS_entries), absl::GetFlag(FLAGS_workers),
         core::duration(absl::GetFlag(FLAGS_lease_ms)),
         core::duration(absl::GetFlag(FLAGS_stop_ms))});
    if (!core::is_ok(system)) {
        fmt::print("{}\n", core::failure(system).message);
        return EXIT_FAILURE;
    }
    auto& customers = core::value(system)->customers();
    customers.wide_job_probability = absl::GetFlag(FLAGS_wide_jobs);
    customers.gang_probability = absl::GetFlag(FLAGS_gangs);
    customers.max_work_time = core::duration(absl::GetFlag(FLAGS_work_ms));
    if (*faults == fault_selection::stale_reads)
        core::value(system)->checker().visibility_delay = max_visibility_delay;
    soak_run run(*core::value(loop), core::value(std::move(system)), random,
                 *faults, directory);
    bool const has_passed = run.run();
    fmt::print("times of runs count from time_ms {} of the logs\n",
               begun_at_ms);
    fmt::print("seed {}: {}, logs in {}\n", seed,
               has_passed ? "all invariants held" : "FAILED",
               directory.string());
    return has_passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
