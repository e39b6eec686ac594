#pragma once

#include "core/clock.hpp"

#include <functional>
#include <memory>

namespace sequoiaroute::event {

/// A handle to a pending call or to periodic calls; destroying it cancels them.
class timer
{
public:
    timer() = default;
    timer(timer const&) = delete;
    timer& operator=(timer const&) = delete;
    virtual ~timer() = default;
};

/// The clock and the timers of a single-threaded process. Callbacks run one
/// after another on its thread and must not block.
class timer_service : public core::clock
{
public:
    /// Calls a function once.
    /// @param delay the time from now
    /// @param callback the function to call
    /// @return the handle to the call
    [[nodiscard]] virtual std::unique_ptr<timer>
    after(core::duration delay, std::function<void()> callback) = 0;

    /// Calls a function periodically until its timer is destroyed.
    /// @param period the time until the first call and between two calls
    /// @param callback the function to call
    /// @return the handle to the calls
    [[nodiscard]] virtual std::unique_ptr<timer>
    every(core::duration period, std::function<void()> callback) = 0;
};

} // namespace sequoiaroute::event
