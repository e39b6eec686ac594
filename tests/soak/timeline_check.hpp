#pragma once

#include <optional>
#include <span>
#include <string>

namespace sequoiaroute::soak {

/// Checks that the logs show the timeline of a completed job as
/// docs/OPERATIONS.md specifies: every event from its acceptance to its end, as
/// logged by the entry, the decider and the agent.
/// @param job the id of a completed job
/// @param lines lines of the logs of all processes, in any order
/// @return a description of the first missing event; nothing if the timeline is
///         complete
std::optional<std::string>
find_timeline_gap(std::string const& job, std::span<std::string const> lines);

} // namespace sequoiaroute::soak
