#include "scheduler/rack_wait.hpp"

#include <algorithm>

namespace sequoiaroute::scheduler {

namespace {

/// A group with a guarantee, which has to start soon, waits this long for
/// resources on a suitable rack before it accepts any rack.
constexpr core::duration guaranteed_rack_wait{1500};
/// A step may wait this long beside an idle service even if its job is old.
constexpr core::duration short_rack_wait{2000};

} // namespace

rack_wait_limits limit_rack_wait(rack_waiter const& waiter,
                                 locality_limits const& limits)
{
    if (waiter.is_long_running ||
        (waiter.is_guaranteed && waiter.waited > guaranteed_rack_wait))
        return {};
    rack_wait_limits result;
    result.busy = core::scaled(waiter.run_time, limits.remote_factor - 1);
    // Beside idle workers, a wait costs no more in all than a start elsewhere.
    result.idle = std::max(result.busy - waiter.waited, core::duration(0));
    if (waiter.has_running_tasks)
        return result;
    auto const remaining =
        std::max({short_rack_wait - waiter.waited,
                  limits.idle_start_limit - waiter.job_age, core::duration(0)});
    result.idle = std::min(result.idle, remaining);
    return result;
}

} // namespace sequoiaroute::scheduler
