#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sequoiaroute::programs {

/// An event of one job, read from the event log of a process.
struct job_event
{
    std::int64_t time_ms = 0;
    std::string node;   ///< the process that logged it
    std::string event;  ///< type, such as "run_ordered"
    std::string run;    ///< empty if the event concerns the whole job
    std::string detail; ///< end, reason or outcome, depending on the type
    std::string agent;  ///< empty unless the event names one
};

/// Time that a job lost to one cause.
struct time_loss
{
    std::int64_t lost_ms = 0;
    std::string cause; ///< for an operator, with the events to look for
};

/// Finds the causes for which a job took longer than its work.
/// @param events the job's events of all processes in order of time
/// @return the losses that a customer would notice, the largest first
std::vector<time_loss> diagnose(std::span<job_event const> events);

} // namespace sequoiaroute::programs
