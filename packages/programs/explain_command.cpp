#include "programs/explain_command.hpp"

#include "core/codec.hpp"
#include "programs/job_diagnosis.hpp"

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <set>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace sequoiaroute::programs {

namespace {

using core::json;

/// Shorter waits occur for every job and are not explained.
constexpr std::int64_t min_reported_wait_ms = 100;

struct log_record
{
    job_event event;
    std::string fields; ///< formatted, as format_fields() returns them
};

/// @return whether an event names the job or one of its runs
bool belongs_to_job(json const& line, std::string_view job_id)
{
    if (core::valid_field_or(line, "job", std::string()) == job_id)
        return true;
    return core::valid_field_or(line, "run", std::string())
        .starts_with(fmt::format("{}.", job_id));
}

/// @return the fields as " KEY=VALUE", without those that identify the event
std::string format_fields(json const& line)
{
    std::string fields;
    for (auto const& [key, value] : line.items()) {
        if (key == "time_ms" || key == "node" || key == "event" || key == "job")
            continue;
        fields += fmt::format(" {}={}", key,
                              value.is_string() ? value.get<std::string>()
                                                : value.dump());
    }
    return fields;
}

/// @return the first non-empty string among some fields, empty if there is none
std::string first_non_empty(json const& line,
                            std::initializer_list<char const*> names)
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

job_event to_job_event(json const& line)
{
    return {
        core::valid_field_or(line, "time_ms", std::int64_t{0}),
        core::valid_field_or(line, "node", std::string("?")),
        core::valid_field_or(line, "event", std::string("?")),
        core::valid_field_or(line, "run", std::string()),
        first_non_empty(line, {"end", "reason", "outcome", "state", "detail"}),
        core::valid_field_or(line, "agent", std::string())};
}

/// @param text a line of a log, which may have a prefix
/// @return its JSON object; nullopt if it has none
std::optional<json> parse_line(std::string_view text)
{
    auto const begin = text.find('{');
    if (begin == std::string_view::npos)
        return std::nullopt;
    auto parsed = core::parse_json(text.substr(begin));
    if (!core::is_ok(parsed) || !core::value(parsed).is_object())
        return std::nullopt;
    return core::value(std::move(parsed));
}

/// @return the events of a job in order of time
std::vector<log_record> select_records(std::string_view job_id,
                                       std::span<std::string const> lines)
{
    std::vector<log_record> records;
    for (auto const& text : lines) {
        if (text.find(job_id) == std::string::npos)
            continue;
        auto const line = parse_line(text);
        if (line && belongs_to_job(*line, job_id))
            records.push_back({to_job_event(*line), format_fields(*line)});
    }
    std::stable_sort(records.begin(), records.end(),
                     [](auto const& left, auto const& right) {
                         return left.event.time_ms < right.event.time_ms;
                     });
    return records;
}

/// @return a line for each event that should have followed another but is
///         missing
std::string describe_gaps(std::span<log_record const> records)
{
    std::set<std::string> seen;
    for (auto const& record : records)
        seen.insert(record.event.event);
    std::string gaps;
    auto const expect = [&](std::string_view first, std::string_view next,
                            std::string_view explanation) {
        if (seen.contains(std::string(first)) &&
            !seen.contains(std::string(next)))
            gaps += fmt::format("missing: {} after {}: {}\n", next, first,
                                explanation);
    };
    expect("job_accepted", "job_queued",
           "no decider has queued the job; note any lease_acquired and "
           "store_lost at that time");
    expect("job_queued", "run_ordered",
           "no worker had enough free resources, or none is allowed to run it; "
           "look for "
           "executor_joined and run_stop_ordered at that time");
    expect(
        "run_ordered", "start_answered",
        "the agent has not started the run, or its log is not among the files");
    expect("run_ordered", "run_ended",
           "the run has not ended, or its end has not reached the decider");
    return gaps;
}

/// @return whether a record is of this event
auto is_event(std::string_view name)
{
    return
        [name](log_record const& record) { return record.event.event == name; };
}

/// The time from which the decider could have placed a job until it did.
struct placement_wait
{
    std::int64_t begin_ms = 0;
    std::int64_t end_ms = 0;
};

std::optional<placement_wait>
find_placement_wait(std::span<log_record const> records)
{
    auto const queued =
        std::find_if(records.begin(), records.end(), is_event("job_queued"));
    if (queued == records.end())
        return std::nullopt;
    auto const ordered =
        std::find_if(records.begin(), records.end(), is_event("run_ordered"));
    auto const end = ordered == records.end() ? records.back() : *ordered;
    return placement_wait{queued->event.time_ms, end.event.time_ms};
}

/// The evacuation of one data centre, as the entries logged it.
struct evacuation_record
{
    std::int64_t requested_ms = 0; ///< last time before the end of a wait
    std::int64_t withdrawn_ms = 0; ///< last time; 0 if it was not withdrawn
};

/// @return the evacuations that were requested before the end of a wait, by
///         data centre
std::map<std::string, evacuation_record>
find_evacuations(placement_wait const& wait, std::span<std::string const> lines)
{
    std::map<std::string, evacuation_record> found;
    for (auto const& text : lines) {
        if (text.find("\"evacuation_") == std::string::npos)
            continue;
        auto const line = parse_line(text);
        if (!line)
            continue;
        auto const event = to_job_event(*line);
        auto& record =
            found[core::valid_field_or(*line, "data_centre", std::string())];
        if (event.event == "evacuation_withdrawn")
            record.withdrawn_ms = std::max(record.withdrawn_ms, event.time_ms);
        else if (event.time_ms < wait.end_ms)
            record.requested_ms = std::max(record.requested_ms, event.time_ms);
    }
    std::erase_if(
        found, [](auto const& item) { return item.second.requested_ms == 0; });
    return found;
}

/// @return the data centres that were evacuated at some time of the wait
std::vector<std::string> evacuated_during(placement_wait const& wait,
                                          std::span<std::string const> lines)
{
    std::vector<std::string> names;
    for (auto const& [name, record] : find_evacuations(wait, lines)) {
        bool const was_over = record.withdrawn_ms > record.requested_ms &&
                              record.withdrawn_ms < wait.begin_ms;
        if (!was_over)
            names.push_back(name);
    }
    return names;
}

std::string describe_evacuations(std::span<log_record const> records,
                                 std::span<std::string const> lines)
{
    auto const wait = find_placement_wait(records);
    if (!wait || wait->end_ms - wait->begin_ms < min_reported_wait_ms)
        return {};
    auto const names = evacuated_during(*wait, lines);
    if (names.empty())
        return {};
    return fmt::format("evacuated while it waited for its first run: {}\n",
                       fmt::join(names, ", "));
}

} // namespace

std::string explain(std::string_view job_id, std::span<std::string const> lines)
{
    auto const records = select_records(job_id, lines);
    if (records.empty())
        return fmt::format("no line names {}\n", job_id);
    std::string timeline;
    std::vector<job_event> events;
    auto const first_time_ms = records.front().event.time_ms;
    for (auto const& record : records) {
        auto const& event = record.event;
        auto const elapsed_seconds =
            static_cast<double>(event.time_ms - first_time_ms) / 1000;
        timeline += fmt::format("{:+9.3f} s {:<26}{:<18}{}\n", elapsed_seconds,
                                event.node, event.event, record.fields);
        events.push_back(event);
    }
    for (auto const& loss : diagnose(events)) {
        timeline +=
            fmt::format("lost {:.3f} s: {}\n",
                        static_cast<double>(loss.lost_ms) / 1000, loss.cause);
    }
    return timeline + describe_evacuations(records, lines) +
           describe_gaps(records);
}

core::status run_explain(std::vector<std::string> const& operands)
{
    if (operands.size() < 2) {
        return core::error{
            core::result_code::bad_request,
            "explain needs the id of a job and at least one file"};
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
