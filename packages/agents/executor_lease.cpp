#include "agents/executor_lease.hpp"

#include <algorithm>

namespace sequoiaroute::agents {

void executor_lease::reset()
{
    clock_read_at_.reset();
    stopped_by_.reset();
    is_suspended_ = false;
}

void executor_lease::record_extension(core::time_point now)
{
    auto const stopped_by = now + timing_.max_time_to_stop();
    stopped_by_ = std::max(stopped_by_.value_or(stopped_by), stopped_by);
}

void executor_lease::assume_longest_lease(core::time_point now)
{
    stopped_by_ = now + timing_.max_time_to_stop_after_restart();
}

void executor_lease::record_clock(std::int64_t clock_ms,
                                  core::time_point received_at)
{
    clock_ms_ = clock_ms;
    clock_read_at_ = received_at;
}

void executor_lease::record_store_contact(core::time_point sent_at)
{
    store_contact_at_ = sent_at;
}

bool executor_lease::may_extend(core::time_point now) const
{
    return !is_suspended_ && store_contact_at_ &&
           now - *store_contact_at_ < timing_.store_outage_tolerance();
}

std::optional<std::int64_t> executor_lease::extend(core::time_point now)
{
    if (!clock_read_at_ || !may_extend(now))
        return std::nullopt;
    record_extension(now);
    // The least time that has passed on the executor's clock, so that the lease
    // is not longer than intended if that clock is slow.
    auto const passed =
        jobs::lease_timing::least_executor_time(now - *clock_read_at_);
    return clock_ms_ + (passed + timing_.lease()).count();
}

bool executor_lease::has_run_out(core::time_point now) const
{
    return stopped_by_ && now > *stopped_by_;
}

bool executor_lease::has_expired(core::time_point now) const
{
    return !may_extend(now) && has_run_out(now);
}

} // namespace sequoiaroute::agents
