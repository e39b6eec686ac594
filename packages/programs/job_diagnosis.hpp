#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sequoiaroute::programs {

/// A line of the event log that concerns one job.
struct job_event
{
    std::int64_t time_ms = 0;
    std::string node;
    std::string event;
    std::string run;    ///< empty if it concerns the whole job
    std::string detail; ///< its end, reason or outcome
    std::string agent;
};

/// What a job lost time to.
struct time_loss
{
    std::int64_t lost_ms = 0;
    std::string cause;
};

/// Finds out from the events of a job what it lost time to.
/// @param events the events of all processes in order of time
/// @return the losses that a customer would notice, the largest first
std::vector<time_loss> diagnose(std::span<job_event const> events);

} // namespace sequoiaroute::programs
