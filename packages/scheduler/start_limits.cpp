#include "scheduler/start_limits.hpp"

#include <utility>

namespace sequoiaroute::scheduler {

start_limits limit_starts(evacuation_state known,
                          jobs::evacuation_timing const& timing)
{
    start_limits limits;
    limits.evacuated_data_centres = std::move(known.data_centres);
    if (!timing.is_bounded())
        return limits;
    limits.are_starts_held =
        !known.confirmed_at || known.age > timing.max_knowledge_age();
    if (known.confirmed_at)
        limits.start_deadline = *known.confirmed_at + timing.order_validity();
    return limits;
}

} // namespace sequoiaroute::scheduler
