#include "soak/unfinished_job.hpp"

#include "programs/log_reader.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include <fmt/format.h>

namespace sequoiaroute::soak {

namespace {

using programs::logged_event;

constexpr std::size_t max_lines = 40;

/// @return all events in order of time
std::vector<logged_event> parse_events(std::span<std::string const> lines)
{
    std::vector<logged_event> events;
    for (auto const& line : lines) {
        auto event = programs::parse_event(line);
        if (core::is_ok(event))
            events.push_back(core::value(std::move(event)));
    }
    std::stable_sort(events.begin(), events.end(),
                     [](auto const& left, auto const& right) {
                         return left.time_ms < right.time_ms;
                     });
    return events;
}

/// @return the agents of the runs of a job that have not ended, by run
std::map<std::string, std::string>
find_open_runs(std::string const& job, std::span<logged_event const> events)
{
    std::map<std::string, std::string> open_runs;
    for (auto const& event : events) {
        if (event.text("job") != job)
            continue;
        if (event.type == "run_ordered")
            open_runs[event.text("run")] = event.text("agent");
        else if (event.type == "run_ended")
            open_runs.erase(event.text("run"));
    }
    return open_runs;
}

bool concerns_executor_of(std::set<std::string> const& agents,
                          logged_event const& event)
{
    bool const names_agent =
        agents.contains(event.text("agent")) || agents.contains(event.node);
    return names_agent &&
           (event.type.starts_with("executor_") ||
            event.type == "agent_ready" || event.type == "heartbeat_rejected");
}

std::string last_lines(std::span<std::string const> lines)
{
    std::string text;
    for (auto const& line : lines.last(std::min(lines.size(), max_lines)))
        text += fmt::format("    {}\n", line);
    return text;
}

} // namespace

std::string describe_unfinished_job(std::string const& job,
                                    std::span<std::string const> lines)
{
    auto const events = parse_events(lines);
    auto const open_runs = find_open_runs(job, events);
    std::set<std::string> agents;
    for (auto const& [run, agent] : open_runs)
        agents.insert(agent);
    std::vector<std::string> selected;
    for (auto const& event : events) {
        bool const concerns_run = open_runs.empty()
                                      ? event.text("job") == job
                                      : open_runs.contains(event.text("run"));
        if (concerns_run || concerns_executor_of(agents, event))
            selected.push_back(event.fields.dump());
    }
    return last_lines(selected);
}

} // namespace sequoiaroute::soak
