#pragma once

#include "core/clock.hpp"

namespace sequoiaroute::jobs {

/// The times by which the evacuation of a data centre takes effect. An order
/// names the latest time at which its run may start, so that the bound holds
/// although an order may lie in the store, and its decider be cut off.
struct evacuation_timing
{
    /// How long after an evacuation was stored tasks may still start in its
    /// data centre; zero if there is no bound.
    core::duration bound{0};

    bool is_bounded() const { return bound > core::duration(0); }

    /// @return how long after the decider's knowledge of evacuations was
    ///         confirmed its orders may be sent to executors
    core::duration order_validity() const;

    /// @return the age of that knowledge from which the decider places nothing,
    ///         since its orders would expire on their way
    core::duration max_knowledge_age() const;
};

} // namespace sequoiaroute::jobs
