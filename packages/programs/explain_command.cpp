#include "programs/explain_command.hpp"

#include "core/codec.hpp"
#include "programs/job_diagnosis.hpp"

#include <algorithm>
#include <fstream>
#include <set>

#include <fmt/format.h>

namespace sequoiaroute::programs {

namespace {

using core::json;

struct log_entry
{
    job_event event;
    std::string details; ///< all fields, to be printed
};

bool concerns(json const& line, std::string_view id)
{
    if (line.value("job", std::string()) == id)
        return true;
    return line.value("run", std::string()).starts_with(fmt::format("{}.", id));
}

std::string describe(json const& line)
{
    std::string details;
    for (auto const& [key, value] : line.items()) {
        if (key == "time_ms" || key == "node" || key == "event" || key == "job")
            continue;
        details += fmt::format(" {}={}", key,
                               value.is_string() ? value.get<std::string>()
                                                 : value.dump());
    }
    return details;
}

/// @return the first of some fields that is not empty
std::string first_of(json const& line, std::initializer_list<char const*> names)
{
    for (auto const* name : names) {
        auto const found = line.find(name);
        if (found == line.end() || !found->is_string())
            continue;
        if (auto text = found->get<std::string>(); !text.empty())
            return text;
    }
    return {};
}

job_event to_event(json const& line)
{
    return {line.value("time_ms", std::int64_t{0}),
            line.value("node", "?"),
            line.value("event", "?"),
            line.value("run", std::string()),
            first_of(line, {"end", "reason", "outcome", "state", "detail"}),
            line.value("agent", std::string())};
}

std::vector<log_entry> select(std::string_view id,
                              std::span<std::string const> lines)
{
    std::vector<log_entry> entries;
    for (auto const& text : lines) {
        auto const brace = text.find('{');
        if (brace == std::string::npos || text.find(id) == std::string::npos)
            continue;
        auto const line = json::parse(text.substr(brace), nullptr, false);
        if (!line.is_object() || !concerns(line, id))
            continue;
        entries.push_back({to_event(line), describe(line)});
    }
    std::stable_sort(entries.begin(), entries.end(),
                     [](auto const& left, auto const& right) {
                         return left.event.time_ms < right.event.time_ms;
                     });
    return entries;
}

/// Names the events that should be there and are not.
std::string name_gaps(std::span<log_entry const> entries)
{
    std::set<std::string> seen;
    for (auto const& entry : entries)
        seen.insert(entry.event.event);
    std::string gaps;
    auto const expect = [&](std::string_view first, std::string_view next,
                            std::string_view meaning) {
        if (seen.contains(std::string(first)) &&
            !seen.contains(std::string(next)))
            gaps +=
                fmt::format("missing: {} after {}: {}\n", next, first, meaning);
    };
    expect("job_accepted", "job_queued",
           "no decider has taken note of the job; look for lease_acquired and "
           "store_lost at that time");
    expect("job_queued", "run_ordered",
           "no worker had room, or none may run it; look for executor_joined "
           "and run_stop_ordered at that time");
    expect("run_ordered", "start_answered",
           "the agent has not acted, or its log is not among the files");
    expect("run_ordered", "run_ended",
           "the run has not ended, or its end is not known yet");
    return gaps;
}

} // namespace

std::string explain(std::string_view id, std::span<std::string const> lines)
{
    auto const entries = select(id, lines);
    if (entries.empty())
        return fmt::format("no line names {}\n", id);
    std::string story;
    std::vector<job_event> events;
    auto const begin_ms = entries.front().event.time_ms;
    for (auto const& entry : entries) {
        auto const& event = entry.event;
        auto const passed =
            static_cast<double>(event.time_ms - begin_ms) / 1000;
        story += fmt::format("{:+9.3f} s {:<26}{:<18}{}\n", passed, event.node,
                             event.event, entry.details);
        events.push_back(event);
    }
    for (auto const& loss : diagnose(events)) {
        story +=
            fmt::format("lost {:.3f} s: {}\n",
                        static_cast<double>(loss.lost_ms) / 1000, loss.cause);
    }
    return story + name_gaps(entries);
}

core::status run_explain(std::vector<std::string> const& operands)
{
    if (operands.size() < 2) {
        return core::error{core::result_code::bad_request,
                           "explain needs an id and at least one file"};
    }
    std::vector<std::string> lines;
    for (std::size_t index = 1; index < operands.size(); ++index) {
        std::ifstream file(operands[index]);
        if (!file) {
            return core::error{
                core::result_code::bad_request,
                fmt::format("{} cannot be read", operands[index])};
        }
        for (std::string line; std::getline(file, line);)
            lines.push_back(line);
    }
    fmt::print("{}", explain(operands[0], lines));
    return core::success();
}

} // namespace sequoiaroute::programs
