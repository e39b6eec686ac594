#include "policy/cluster_simulation.hpp"
#include "policy/measured_policy.hpp"
#include "policy/report.hpp"
#include "policy/round_time.hpp"

#include <atomic>
#include <iostream>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

ABSL_FLAG(int, seeds, 10, "number of seeds to run, from 1 on");
ABSL_FLAG(int, threads, 4, "number of concurrent runs, each on its own thread");
ABSL_FLAG(std::string, loads, "", "names of the loads to run; all if empty");
ABSL_FLAG(std::string, folder, "",
          "output folder of the report; if empty, one "
          "line per run is printed instead");

namespace sequoiaroute::benchmarks {

namespace {

/// A simulation of one load under one policy with one seed.
struct run
{
    load const* measured_load;
    measured_policy const* tested_policy;
    std::uint64_t seed;
    measurements result;
};

/// Runs the simulations on several threads and stores their results.
void run_all(std::vector<run>& runs, int threads)
{
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> workers;
    workers.reserve(static_cast<std::size_t>(threads));
    for (int count = 0; count < threads; ++count) {
        workers.emplace_back([&] {
            for (auto index = next++; index < runs.size(); index = next++) {
                auto& run = runs[index];
                auto const policy = run.tested_policy->create();
                run.result =
                    cluster_simulation(*run.measured_load, run.seed, *policy)
                        .run();
            }
        });
    }
}

void print(run const& run)
{
    auto const& result = run.result;
    fmt::print("{} | {} | seed {} |", run.measured_load->name,
               run.tested_policy->name, run.seed);
    for (auto const& [name, hours] : result.completion_hours)
        fmt::print(" {} {:.2f} {:.2f} {:.2f}", name, quantile(hours, 0.5),
                   quantile(hours, 0.95), quantile(hours, 0.99));
    fmt::print(" | shape {:.1f} stranded {:.2f} use {:.2f} evictions {} moves "
               "{} lost {:.0f} broken {} unfinished {} us {:.0f} {:.0f} {}\n",
               result.largest_free_block, result.stranded_accelerators,
               result.utilisation, result.evictions, result.moves,
               result.work_lost_hours, result.violations, result.unfinished,
               quantile(result.decision_microseconds, 0.5),
               quantile(result.decision_microseconds, 0.99),
               result.first_violation);
}

/// Measures round times at several fleet sizes and queue lengths.
void add_round_times(report& report,
                     std::vector<measured_policy> const& policies)
{
    for (auto const& tested_policy : policies) {
        for (auto const& [workers, queued] : {std::pair(11, 100),
                                              {100, 100},
                                              {600, 100},
                                              {600, 1'000},
                                              {600, 10'000},
                                              {11, 10'000}})
            report.add_round_time(
                tested_policy.name, workers, queued,
                median_round_microseconds(tested_policy, workers, queued));
    }
}

} // namespace

} // namespace sequoiaroute::benchmarks

int main(int argc, char** argv)
{
    using namespace sequoiaroute::benchmarks;
    absl::ParseCommandLine(argc, argv);
    auto const seeds = absl::GetFlag(FLAGS_seeds);
    auto const folder = absl::GetFlag(FLAGS_folder);
    auto const load_names = absl::GetFlag(FLAGS_loads);
    auto const loads = measured_loads();
    auto const policies = measured_policies();
    std::vector<run> runs;
    for (auto const& load : loads) {
        if (!load_names.empty() &&
            load_names.find(load.name) == std::string::npos)
            continue;
        for (auto const& tested_policy : policies) {
            for (int seed = 1; seed <= seeds; ++seed)
                runs.push_back({&load,
                                &tested_policy,
                                static_cast<std::uint64_t>(seed),
                                {}});
        }
    }
    run_all(runs, absl::GetFlag(FLAGS_threads));
    if (folder.empty()) {
        for (auto const& run : runs)
            print(run);
        return 0;
    }
    report report(folder);
    std::vector<measurements> seed_results;
    int violations = 0;
    for (std::size_t index = 0; index < runs.size(); ++index) {
        auto& run = runs[index];
        bool const is_cell_policy =
            run.tested_policy->name.starts_with("cells");
        violations += is_cell_policy ? run.result.violations : 0;
        if (is_cell_policy && run.result.violations > 0)
            print(run);
        seed_results.push_back(std::move(run.result));
        if (static_cast<int>(seed_results.size()) < seeds)
            continue;
        report.add(*run.measured_load, run.tested_policy->name,
                   std::move(seed_results));
        seed_results.clear();
    }
    add_round_times(report, policies);
    report.write(seeds);
    if (violations == 0)
        return 0;
    std::cerr << violations << " guarantee(s) broken by cell_policy\n";
    return 1;
}
