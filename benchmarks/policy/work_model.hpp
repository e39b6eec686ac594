#pragma once

#include "core/clock.hpp"

#include <algorithm>

namespace sequoiaroute::benchmarks {

/// Computes the work that a stopped attempt preserves for the next attempt.
/// @param elapsed the time that the attempt ran
/// @param can_checkpoint whether the job can write checkpoints
/// @param is_planned true if the job wrote a checkpoint when it was stopped;
///        false if only its last periodic checkpoint is left
/// @return the preserved run time, less the cost of a restart
inline core::duration preserved_work(core::duration elapsed,
                                     bool can_checkpoint, bool is_planned)
{
    constexpr core::duration restart_cost = std::chrono::minutes(1);
    constexpr core::duration checkpoint_period = std::chrono::minutes(30);
    if (!can_checkpoint)
        return {};
    auto const checkpointed =
        is_planned ? elapsed : elapsed / checkpoint_period * checkpoint_period;
    return std::max(core::duration{}, checkpointed - restart_cost);
}

} // namespace sequoiaroute::benchmarks
