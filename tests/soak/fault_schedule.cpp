#include "soak/fault_schedule.hpp"

namespace sequoiaroute::soak {

namespace {

constexpr core::duration min_restart_delay{300};
constexpr core::duration max_restart_delay{4000};

} // namespace

void fault_schedule::begin(std::string const& kind, std::function<void()> end,
                           core::duration duration)
{
    count(kind);
    call_later(duration, std::move(end));
}

void fault_schedule::call_later(core::duration delay,
                                std::function<void()> call)
{
    timers_.push_back(loop_.after(delay, std::move(call)));
}

void fault_schedule::restart_later(system_process& target)
{
    call_later(random_.between(min_restart_delay, max_restart_delay),
               [this, &target] {
                   if (target.is_running && target.is_stopping)
                       return restart_later(target);
                   if (!target.is_running)
                       system_.start(target);
               });
}

} // namespace sequoiaroute::soak
