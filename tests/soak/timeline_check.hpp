#pragma once

#include <filesystem>
#include <optional>
#include <string>

namespace sequoiaroute::soak {

/// Checks that the logs show the timeline of a completed job as
/// docs/OPERATIONS.md specifies: every event from its acceptance to its end, as
/// logged by the entry, the decider and the agent.
/// @param directory contains the output files of the processes
/// @param job the id of a completed job
/// @return a description of the first missing event; nothing if the timeline is
///         complete
std::optional<std::string>
find_timeline_gap(std::filesystem::path const& directory,
                  std::string const& job);

} // namespace sequoiaroute::soak
