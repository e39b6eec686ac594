#pragma once

#include "soak/test_system.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace sequoiaroute::soak {

/// Ends faults and restarts processes at their times, and counts the faults.
class fault_schedule
{
public:
    /// @param loop runs the timers
    /// @param random decides when processes restart
    /// @param system the system under test; must outlive this object
    fault_schedule(event::event_loop& loop, random_source& random,
                   test_system& system)
        : loop_(loop), random_(random), system_(system)
    {
    }

    /// Counts a fault that needs no end.
    /// @param kind the kind under which it is counted
    void count(std::string const& kind) { ++counts_[kind]; }

    /// Counts a fault and schedules its end.
    /// @param kind the kind under which it is counted
    /// @param end ends the fault
    /// @param duration how long the fault lasts
    void begin(std::string const& kind, std::function<void()> end,
               core::duration duration);

    /// Calls a function once after a delay, unless clear() comes first.
    void call_later(core::duration delay, std::function<void()> call);

    /// Starts a process after a random delay, once it has ended.
    void restart_later(system_process& target);

    /// Drops all ends and restarts that are due later.
    void clear() { timers_.clear(); }

    /// @return how many faults of each kind were injected
    std::map<std::string, std::size_t> const& counts() const { return counts_; }

private:
    event::event_loop& loop_;
    random_source& random_;
    test_system& system_;
    std::map<std::string, std::size_t> counts_;
    std::list<std::unique_ptr<event::timer>> timers_;
};

} // namespace sequoiaroute::soak
