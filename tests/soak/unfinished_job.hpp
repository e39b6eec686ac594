#pragma once

#include <span>
#include <string>

namespace sequoiaroute::soak {

/// Selects what the logs show of a job that does not end: the events of its
/// runs that have not ended and of the executors of their agents, or those of
/// the job itself if all its runs have ended.
/// @param job the id of the job
/// @param lines lines of the logs, in any order
/// @return the last of these events in order of time, one on each line
std::string describe_unfinished_job(std::string const& job,
                                    std::span<std::string const> lines);

} // namespace sequoiaroute::soak
