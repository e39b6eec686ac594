#include "soak/run_history.hpp"

#include <fmt/format.h>

namespace sequoiaroute::soak {

void run_history::record_start(key const& run, std::string agent)
{
    auto& added = records_[run];
    added.agent = std::move(agent);
    added.started_at = clock_.now();
}

void run_history::record_stop(key const& run)
{
    auto& stopped = records_[run];
    if (!stopped.stop_received_at)
        stopped.stop_received_at = clock_.now();
}

void run_history::record_end(key const& run, jobs::run_end outcome)
{
    auto& ended = records_[run];
    ended.ended_at = clock_.now();
    ended.outcome = outcome;
}

void run_history::record_acknowledgement(key const& run)
{
    records_[run].acknowledged_at = clock_.now();
}

void run_history::record_executor_end(std::string const& executor)
{
    for (auto const& run : running_on(executor))
        record_end(run, jobs::run_end::lost);
}

std::vector<run_history::key>
run_history::running_on(std::string const& executor) const
{
    std::vector<key> runs;
    for (auto const& [run, known] : records_) {
        if (run.executor == executor && !known.ended_at)
            runs.push_back(run);
    }
    return runs;
}

std::vector<run_history::key>
run_history::runs_of(jobs::task_id const& task) const
{
    std::vector<key> runs;
    auto next = records_.lower_bound({{task, 0}, {}});
    for (; next != records_.end() && next->first.run.task == task; ++next)
        runs.push_back(next->first);
    return runs;
}

std::string run_history::time_text(std::optional<core::time_point> time) const
{
    return time ? fmt::format("{} ms", (*time - begun_at_).count()) : "-";
}

std::string run_history::describe(key const& run) const
{
    auto const& known = records_.at(run);
    auto const outcome =
        known.ended_at ? fmt::format(" ({})", jobs::name(known.outcome)) : "";
    return fmt::format(
        "{} on {} from {}: start {}, stop {}, end {}{}, "
        "acknowledged {}",
        jobs::to_text(run.run), run.executor, known.agent,
        time_text(known.started_at), time_text(known.stop_received_at),
        time_text(known.ended_at), outcome, time_text(known.acknowledged_at));
}

} // namespace sequoiaroute::soak
