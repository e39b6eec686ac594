#include "soak/processor_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace sequoiaroute::soak {

namespace {

/// The resolution of the timers.
constexpr core::duration min_turn{1};

core::duration length_of_turn(double share)
{
    auto const length = std::llround(
        share * static_cast<double>(processor_limiter::period.count()));
    return std::max(min_turn, core::duration(length));
}

} // namespace

void processor_limiter::start(std::vector<set_stopped_function> processes)
{
    if (share_ >= 1)
        return;
    processes_.clear();
    // The callbacks keep references to the elements.
    processes_.reserve(processes.size());
    auto const count = static_cast<int>(processes.size());
    for (int index = 0; index < count; ++index) {
        auto& added = processes_.emplace_back();
        added.set_stopped =
            std::move(processes[static_cast<std::size_t>(index)]);
        added.set_stopped(true);
        added.first_turn =
            timers_.after(period * index / count, [this, &added] {
                added.turns = timers_.every(
                    period, [this, &added] { begin_turn(added); });
                begin_turn(added);
            });
    }
}

void processor_limiter::begin_turn(limited_process& target)
{
    target.set_stopped(false);
    target.end_of_turn = timers_.after(length_of_turn(share_),
                                       [&target] { target.set_stopped(true); });
}

} // namespace sequoiaroute::soak
