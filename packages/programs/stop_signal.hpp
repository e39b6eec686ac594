#pragma once

#include "core/clock.hpp"

namespace sequoiaroute::programs {

/// Receives SIGTERM and SIGINT synchronously, in the thread that calls wait(),
/// so that no code runs in a signal handler.
class stop_signal
{
public:
    /// Blocks the signals in the calling thread. Must be constructed before any
    /// thread is started, since threads inherit the signal mask.
    stop_signal();

    /// Waits for a signal.
    /// @param timeout how long to wait, in milliseconds
    /// @return whether a signal arrived in time
    bool wait(core::duration timeout) const;
};

} // namespace sequoiaroute::programs
