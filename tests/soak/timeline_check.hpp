#pragma once

#include <filesystem>
#include <optional>
#include <string>

namespace sequoiaroute::soak {

/// Checks that the logs tell the way of a completed job as docs/OPERATIONS.md
/// promises: from its acceptance to its end, across entry, decider and agent.
/// @param directory where the outputs of the processes are
/// @param job the id of a job that was completed
/// @return what is missing; nothing if the story is whole
std::optional<std::string> find_gap(std::filesystem::path const& directory,
                                    std::string const& job);

} // namespace sequoiaroute::soak
