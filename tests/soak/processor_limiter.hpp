#pragma once

#include "event/timer_service.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace sequoiaroute::soak {

/// Limits processes to a share of a core: in each period a process runs for
/// this share of the period, and is stopped for the rest.
class processor_limiter
{
public:
    /// Stops a process, or lets it run on.
    using set_stopped_function = std::function<void(bool is_stopped)>;

    static constexpr core::duration period{100};

    /// @param timers must outlive this object
    /// @param share of a core, greater than 0; from 1 on nothing is limited
    processor_limiter(event::timer_service& timers, double share)
        : timers_(timers), share_(share)
    {
    }

    /// Starts to limit processes. Their turns begin at different times, spread
    /// evenly over a period.
    /// @param processes a function for each process
    void start(std::vector<set_stopped_function> processes);

private:
    struct limited_process
    {
        set_stopped_function set_stopped;
        std::unique_ptr<event::timer> first_turn;
        std::unique_ptr<event::timer> turns;
        std::unique_ptr<event::timer> end_of_turn;
    };

    void begin_turn(limited_process& target);

    event::timer_service& timers_;
    double share_;
    std::vector<limited_process> processes_;
};

} // namespace sequoiaroute::soak
