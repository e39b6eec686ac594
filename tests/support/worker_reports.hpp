#pragma once

#include "jobs/worker_report.hpp"

#include <string>

namespace sequoiaroute::support {

/// @param agent the agent that reports
/// @param born_ms the start time of its executor, which identifies the
///                incarnation
/// @return the report of an idle worker with eight accelerators on rack r1
inline jobs::worker_report make_worker_report(std::string const& agent,
                                              std::int64_t born_ms = 1)
{
    jobs::worker_report report;
    report.agent = agent;
    report.worker.executor = {"i-" + agent, born_ms};
    report.worker.service = "s";
    report.worker.data_centre = "z";
    report.worker.rack = "r1";
    report.worker.state = jobs::worker_state::ready;
    report.worker.capacity = {128'000, 512'000, 8};
    report.worker.labels = {"a", "r1"};
    return report;
}

} // namespace sequoiaroute::support
