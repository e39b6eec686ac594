#include "jobs/worker_report.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace sequoiaroute::jobs {

namespace {

constexpr std::array<std::pair<run_end, std::string_view>, 8> run_end_names{{
    {run_end::done, "done"},
    {run_end::failed, "failed"},
    {run_end::stopped, "stopped"},
    {run_end::lapsed, "lapsed"},
    {run_end::broken, "broken"},
    {run_end::alone, "alone"},
    {run_end::refused, "refused"},
    {run_end::lost, "lost"},
}};

} // namespace

std::string_view name(worker_state state)
{
    switch (state) {
    case worker_state::ready:
        return "ready";
    case worker_state::draining:
        return "draining";
    case worker_state::gone:
        return "gone";
    }
    return "gone";
}

std::string_view name(run_end end)
{
    auto const* const found =
        std::find_if(run_end_names.begin(), run_end_names.end(),
                     [&](auto const& item) { return item.first == end; });
    return found == run_end_names.end() ? "lost" : found->second;
}

run_end parse_run_end(std::string_view name)
{
    auto const* const found =
        std::find_if(run_end_names.begin(), run_end_names.end(),
                     [&](auto const& item) { return item.second == name; });
    return found == run_end_names.end() ? run_end::lost : found->first;
}

} // namespace sequoiaroute::jobs
