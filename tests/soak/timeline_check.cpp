#include "soak/timeline_check.hpp"

#include "programs/explain_command.hpp"

#include <array>
#include <string_view>

#include <fmt/format.h>

namespace sequoiaroute::soak {

namespace {

constexpr std::array<std::string_view, 7> expected_events{
    "job_accepted",   "job_queued", "run_ordered", "start_answered",
    "run_end_listed", "run_ended",  "job_finished"};

} // namespace

std::optional<std::string> find_timeline_gap(std::string const& job,
                                             std::span<std::string const> lines)
{
    auto const timeline = programs::explain(job, lines);
    for (auto const event : expected_events) {
        if (timeline.find(event) == std::string::npos)
            return fmt::format("the logs lack event {} of job {}", event, job);
    }
    if (auto const gap = timeline.find("missing:"); gap != std::string::npos)
        return timeline.substr(gap);
    return std::nullopt;
}

} // namespace sequoiaroute::soak
