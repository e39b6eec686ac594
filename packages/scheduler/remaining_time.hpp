#pragma once

#include "core/clock.hpp"
#include "scheduler/open_job.hpp"
#include "scheduler/run_time_estimator.hpp"

namespace sequoiaroute::scheduler {

/// The time that a run may take if nothing is known of its end, as of a
/// long-running one.
inline constexpr core::duration unknown_remaining_time{std::chrono::hours(1)};

/// Estimates how much longer a run takes: from its progress or, without enough
/// of it, from the expected run time.
///
/// A few runs take many times as long as equal ones. A run that has passed its
/// expected time is therefore expected to take as long again, so that work is
/// not made to wait for a room that is about to become free time and again.
/// @param job the job of the run
/// @param run the run
/// @param run_times estimates run times
/// @param now the current time
/// @return the time; unknown_remaining_time if the run is long-running
core::duration expected_remaining_time(open_job const& job,
                                       assignment const& run,
                                       run_time_estimator const& run_times,
                                       core::time_point now);

} // namespace sequoiaroute::scheduler
