#pragma once

#include "policy/measured_policy.hpp"

namespace sequoiaroute::benchmarks {

/// Measures the processor time of a scheduling round on a busy fleet.
/// @param tested_policy the policy
/// @param workers the number of workers in the fleet
/// @param queued the number of jobs in the queue
/// @return the median of several rounds in microseconds
double median_round_microseconds(measured_policy const& tested_policy,
                                 int workers, int queued);

} // namespace sequoiaroute::benchmarks
