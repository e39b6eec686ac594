#pragma once

#include "policy/scheduling.hpp"

#include <memory>
#include <string>
#include <vector>

namespace sequoiaroute::benchmarks {

/// A policy that the benchmark measures.
struct measured_policy
{
    std::string name; ///< as in the report
    std::unique_ptr<policy::placement_policy> (*create)();
};

/// @return the policies to measure, baselines first
std::vector<measured_policy> measured_policies();

} // namespace sequoiaroute::benchmarks
