#pragma once

#include "core/clock.hpp"

#include <functional>
#include <memory>

namespace sequoiaroute::event {

/// A pending call; destroying it cancels the call.
class timer
{
public:
    timer() = default;
    timer(timer const&) = delete;
    timer& operator=(timer const&) = delete;
    virtual ~timer() = default;
};

/// Time and timers of a process with a single thread. Callbacks run one after
/// another on that thread and must not block.
class timer_service : public core::clock
{
public:
    /// Calls a function once.
    /// @param delay the time from now
    /// @param callback the function to call
    /// @return the owner of the pending call
    [[nodiscard]] virtual std::unique_ptr<timer>
    after(core::duration delay, std::function<void()> callback) = 0;

    /// Calls a function periodically until its timer is destroyed.
    /// @param period the time between two calls
    /// @param callback the function to call
    /// @return the owner of the subscription
    [[nodiscard]] virtual std::unique_ptr<timer>
    every(core::duration period, std::function<void()> callback) = 0;
};

} // namespace sequoiaroute::event
