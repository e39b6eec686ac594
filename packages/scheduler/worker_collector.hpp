#pragma once

#include "placement/placement_round.hpp"
#include "scheduler/open_job.hpp"
#include "scheduler/run_statistics.hpp"
#include "scheduler/worker_view.hpp"

#include <set>
#include <string>
#include <vector>

namespace sequoiaroute::scheduler {

/// What collect_workers() goes by.
struct worker_inputs
{
    worker_map const& workers; ///< as last reported
    job_map const& jobs;       ///< whose runs use resources of the workers
    run_statistics const& statistics;
    /// A worker whose newest report is this old or older accepts no new runs.
    core::duration report_freshness_limit;
    /// Workers in these data centres accept no new runs.
    std::set<std::string> const& evacuated_data_centres;
};

/// Computes what is free on every worker, when more becomes free, and whether
/// the worker accepts runs. All decisions that depend on the room of the fleet
/// go by the result.
std::vector<placement::worker> collect_workers(worker_inputs const& inputs,
                                               core::time_point now);

/// @return whether a run has made no progress for too long although reports
///         list it as running
bool is_stalled(open_job const& job, assignment const& run);

} // namespace sequoiaroute::scheduler
