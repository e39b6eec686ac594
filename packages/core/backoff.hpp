#pragma once

#include "core/clock.hpp"

#include <algorithm>

namespace sequoiaroute::core {

/// Exponential backoff: the delay between retries doubles up to a maximum.
class backoff
{
public:
    /// @param initial_delay the delay before the first retry
    /// @param max_delay the maximum that later delays reach
    constexpr backoff(duration initial_delay, duration max_delay)
        : initial_delay_(initial_delay), max_delay_(max_delay),
          next_delay_(initial_delay)
    {
    }

    /// Doubles the delay for the following call.
    /// @return the delay before the next retry
    duration next()
    {
        auto const delay = next_delay_;
        next_delay_ = std::min(next_delay_ * 2, max_delay_);
        return delay;
    }

    /// Restarts with the initial delay; to be called after a success.
    void reset() { next_delay_ = initial_delay_; }

private:
    duration initial_delay_;
    duration max_delay_;
    duration next_delay_;
};

} // namespace sequoiaroute::core
