#pragma once

#include "jobs/evacuation_timing.hpp"
#include "scheduler/evacuation_source.hpp"

#include <optional>
#include <set>
#include <string>

namespace sequoiaroute::scheduler {

/// Where and until when runs may start, as far as evacuations limit it.
struct start_limits
{
    /// No runs are placed in these data centres.
    std::set<std::string> evacuated_data_centres;
    /// The latest time, by the store's clock, at which runs that are ordered
    /// now may start; nullopt for no limit.
    std::optional<core::duration> start_deadline;
    /// No runs are placed at all, since the evacuations in force may be others.
    bool are_starts_held = false;
};

/// Derives the limits of a scheduling round.
/// @param known the evacuations that are known
/// @param timing by when evacuations take effect
start_limits limit_starts(evacuation_state known,
                          jobs::evacuation_timing const& timing);

} // namespace sequoiaroute::scheduler
