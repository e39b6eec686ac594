#include "policy/report.hpp"

#include "policy/svg_plot.hpp"

#include <algorithm>
#include <fstream>
#include <functional>
#include <numeric>

#include <fmt/format.h>

namespace sequoiaroute::benchmarks {

namespace {

/// Extracts one value from the measurements of a run.
using metric = std::function<double(measurements const&)>;

/// @param name a class of measurements::completion_hours
/// @param share the quantile, from 0 to 1
/// @return the metric of that quantile in hours, 0 without such jobs
metric completion(std::string name, double share)
{
    return [name = std::move(name), share](measurements const& run) {
        auto const found = run.completion_hours.find(name);
        return found == run.completion_hours.end()
                   ? 0.0
                   : quantile(found->second, share);
    };
}

std::vector<double> values(std::vector<measurements> const& runs,
                           metric const& value)
{
    std::vector<double> result;
    std::transform(runs.begin(), runs.end(), std::back_inserter(result), value);
    return result;
}

double mean(std::vector<double> const& run_values)
{
    return run_values.empty()
               ? 0
               : std::accumulate(run_values.begin(), run_values.end(), 0.0) /
                     static_cast<double>(run_values.size());
}

/// @return the mean, minimum and maximum of a metric over the seeds
std::string format_cell(std::vector<measurements> const& runs,
                        metric const& value)
{
    auto const run_values = values(runs, value);
    return fmt::format("{:.3g} ({:.3g}..{:.3g})", mean(run_values),
                       *std::min_element(run_values.begin(), run_values.end()),
                       *std::max_element(run_values.begin(), run_values.end()));
}

struct row
{
    std::string name;
    metric value;
};

/// @return the rows of the table of a load
std::vector<row> rows()
{
    std::vector<row> rows;
    for (std::string const name : {"urgent", "large", "rest"}) {
        for (auto const& [percentile, share] :
             {std::pair("median", 0.5), {"95th", 0.95}, {"99th", 0.99}})
            rows.push_back(
                {fmt::format("{} completion, {} (h)", name, percentile),
                 completion(name, share)});
    }
    rows.push_back({"largest free shape in a rack (accelerators)",
                    [](auto const& run) { return run.largest_free_block; }});
    rows.push_back({"stranded accelerators",
                    [](auto const& run) { return run.stranded_accelerators; }});
    rows.push_back({"accelerators in use (share)",
                    [](auto const& run) { return run.utilisation; }});
    rows.push_back({"guarantee reclaim, 95th (s)", [](auto const& run) {
                        return quantile(run.reclaim_seconds, 0.95);
                    }});
    rows.push_back({"guarantee reclaim, longest (s)", [](auto const& run) {
                        return quantile(run.reclaim_seconds, 1);
                    }});
    rows.push_back({"deadlines missed (share)", [](auto const& run) {
                        return run.deadlines_missed /
                               std::max(1.0,
                                        static_cast<double>(run.deadlines));
                    }});
    rows.push_back(
        {"evictions", [](auto const& run) { return run.evictions; }});
    rows.push_back(
        {"of these moves", [](auto const& run) { return run.moves; }});
    rows.push_back({"work lost to evictions (accelerator-hours)",
                    [](auto const& run) { return run.work_lost_hours; }});
    rows.push_back(
        {"work lost to moves (accelerator-hours)",
         [](auto const& run) { return run.work_lost_to_moves_hours; }});
    rows.push_back(
        {"promises broken", [](auto const& run) { return run.violations; }});
    rows.push_back(
        {"jobs not finished", [](auto const& run) { return run.unfinished; }});
    rows.push_back({"decision time, median (us)", [](auto const& run) {
                        return quantile(run.decision_microseconds, 0.5);
                    }});
    rows.push_back({"decision time, 99th (us)", [](auto const& run) {
                        return quantile(run.decision_microseconds, 0.99);
                    }});
    return rows;
}

} // namespace

void report::add(load const& load, std::string const& policy,
                 std::vector<measurements> runs)
{
    if (sections_.empty() || sections_.back().measured_load.name != load.name)
        sections_.push_back({load, {}});
    sections_.back().results.push_back({policy, std::move(runs)});
}

void report::add_round_time(std::string const& policy, int workers, int queued,
                            double microseconds)
{
    round_times_.push_back({policy, workers, queued, microseconds});
}

std::string report::table(section const& section)
{
    std::string text = "| |";
    std::string separator = "| --- |";
    for (auto const& result : section.results) {
        text += fmt::format(" {} |", result.policy);
        separator += " --- |";
    }
    text += "\n" + separator + "\n";
    for (auto const& row : rows()) {
        text += fmt::format("| {} |", row.name);
        for (auto const& result : section.results)
            text += fmt::format(" {} |", format_cell(result.runs, row.value));
        text += "\n";
    }
    return text;
}

std::string report::round_time_table() const
{
    std::string text = "| policy | workers | queued jobs | round, median (us) "
                       "|\n| --- | --- | --- | --- |\n";
    for (auto const& item : round_times_)
        text += fmt::format("| {} | {} | {} | {:.0f} |\n", item.policy,
                            item.workers, item.queued, item.microseconds);
    return text;
}

std::string report::comparisons() const
{
    struct comparison
    {
        std::string load;
        std::string policy;
        std::string baseline;
        std::string name;
        metric value;
        double goal_percent; ///< reduction against the baseline
    };
    std::vector<comparison> comparison_list;
    for (std::string const baseline : {"backfill", "backfill, urgent first"}) {
        comparison_list.push_back({"a", "cells, completion", baseline,
                                   "urgent completion, 95th",
                                   completion("urgent", 0.95), 30});
        comparison_list.push_back({"a", "cells, completion", baseline,
                                   "large completion, 95th",
                                   completion("large", 0.95), 30});
        comparison_list.push_back(
            {"b", "cells, fragmentation", baseline, "stranded accelerators",
             [](auto const& run) { return run.stranded_accelerators; }, 40});
    }
    std::string text = "| load | figure | against | baseline | cells | change "
                       "| aim | |\n| --- | --- | --- | --- | --- | --- | --- "
                       "| --- |\n";
    for (auto const& item : comparison_list) {
        for (auto const& section : sections_) {
            if (section.measured_load.name != item.load)
                continue;
            double baseline_mean = 0;
            double policy_mean = 0;
            for (auto const& result : section.results) {
                auto const average = mean(values(result.runs, item.value));
                if (result.policy == item.baseline)
                    baseline_mean = average;
                if (result.policy == item.policy)
                    policy_mean = average;
            }
            auto const change =
                100 * (policy_mean / std::max(1e-9, baseline_mean) - 1);
            text += fmt::format(
                "| {} | {} | {} | {:.3g} | {:.3g} | {:+.0f}% | -{:.0f}% | {} "
                "|\n",
                item.load, item.name, item.baseline, baseline_mean, policy_mean,
                change, item.goal_percent,
                change <= -item.goal_percent ? "reached" : "not reached");
        }
    }
    return text;
}

void report::write_plots() const
{
    struct plot
    {
        std::string file;
        std::string title;
        std::string unit;
        metric value;
    };
    std::vector<plot> const plots{
        {"urgent", "95th percentile of urgent completion", "hours",
         completion("urgent", 0.95)},
        {"large", "95th percentile of large-gang completion", "hours",
         completion("large", 0.95)},
        {"stranded", "Stranded accelerators", "accelerators",
         [](auto const& run) { return run.stranded_accelerators; }}};
    for (auto const& section : sections_) {
        for (auto const& plot : plots) {
            std::vector<svg_plot::bar> bars;
            for (auto const& result : section.results) {
                auto const run_values = values(result.runs, plot.value);
                bars.push_back(
                    {result.policy, mean(run_values),
                     *std::min_element(run_values.begin(), run_values.end()),
                     *std::max_element(run_values.begin(), run_values.end())});
            }
            write_file(fmt::format("plots/{}-{}.svg",
                                   section.measured_load.name, plot.file),
                       svg_plot::bars(fmt::format("{}: {}",
                                                  section.measured_load.title,
                                                  plot.title),
                                      plot.unit, bars));
        }
    }
    std::vector<svg_plot::line> by_workers;
    std::vector<svg_plot::line> by_queue;
    for (auto const& item : round_times_) {
        if (by_workers.empty() || by_workers.back().label != item.policy) {
            by_workers.push_back({item.policy, {}});
            by_queue.push_back({item.policy, {}});
        }
        if (item.queued == 100)
            by_workers.back().points.emplace_back(item.workers,
                                                  item.microseconds);
        if (item.workers == 600)
            by_queue.back().points.emplace_back(item.queued, item.microseconds);
    }
    write_file("plots/decision-by-workers.svg",
               svg_plot::lines("Decision time, 100 jobs queued", "workers",
                               "microseconds", by_workers));
    write_file("plots/decision-by-queue.svg",
               svg_plot::lines("Decision time, 600 workers", "queued jobs",
                               "microseconds", by_queue));
}

void report::write_file(std::string const& name, std::string const& text) const
{
    std::ofstream(folder_ + "/" + name) << text;
}

void report::write(int seeds) const
{
    auto text = fmt::format(
        "# Measurement of the placement policy\n\n"
        "Written by `meta/policy-report`; seeds 1 to {}. Each cell is the mean "
        "over the seeds with the least and the largest value. Completion "
        "counts from submission to the end. Percentiles are taken in each "
        "run.\n\n"
        "Run times are log-normal, capped at three days, and in the mixes "
        "below given by their median. Declared run times are wrong by a "
        "log-normal factor (sigma 1.5). Arrivals come in bursts of 30 min at "
        "five times the rate, every 5 h on average. 4% of the jobs are "
        "cancelled after an hour on average. 80% of the jobs can write a "
        "checkpoint; a restart costs a minute, and the others lose all work. "
        "A worker fails every 10 days on average for 30 min, and twice in each "
        "run a worker fails everything for 3 h; the quarantine is the "
        "product's. The rules contain the guarantees for all policies. First "
        "fit does not know of them; backfill keeps them by the accounts and "
        "evictions of cell_policy. Backfill places in the order of submission "
        "with room reserved for the first job that does not fit; \"urgent "
        "first\" is a stronger variant of it that considers urgent jobs "
        "first.\n\n"
        "A promise is broken if a job that fits an unused cell of its "
        "customer's guarantee waits longer than 10 s while no worker is "
        "missing, if a job that is not borrowing or is unrepeatable is "
        "evicted, if a gang starts in part, or if a member has no room. "
        "Stranded accelerators are free ones that no pending or guaranteed "
        "shape can use. Decision times are processor time of a whole round.\n\n"
        "## Against the aims\n\n{}\n",
        seeds, comparisons());
    for (auto const& section : sections_) {
        text +=
            fmt::format("## Load {}: {}\n\n{}.\n\n{}\n",
                        section.measured_load.name, section.measured_load.title,
                        section.measured_load.mix, table(section));
        for (auto const* const file : {"urgent", "large", "stranded"})
            text += fmt::format("![{0}](plots/{1}-{0}.svg)\n", file,
                                section.measured_load.name);
        text += "\n";
    }
    text += fmt::format(
        "## Growth of the decision time\n\nOne round on a full fleet of "
        "workers of load a, with the queue drawn from load a.\n\n{}\n"
        "![by workers](plots/decision-by-workers.svg)\n"
        "![by queue](plots/decision-by-queue.svg)\n",
        round_time_table());
    write_file("policy-report.md", text);
    write_plots();
    fmt::print("{}", text);
}

} // namespace sequoiaroute::benchmarks
