#pragma once

#include "core/clock.hpp"

#include <algorithm>

namespace sequoiaroute::core {

/// Delays between retries that double up to a bound.
class backoff
{
public:
    /// @param shortest the first delay
    /// @param longest the bound
    constexpr backoff(duration shortest, duration longest)
        : shortest_(shortest), longest_(longest), next_(shortest)
    {
    }

    /// @return the delay before the next retry
    duration next()
    {
        auto const delay = next_;
        next_ = std::min(next_ * 2, longest_);
        return delay;
    }

    /// Begins anew after a success.
    void reset() { next_ = shortest_; }

private:
    duration shortest_;
    duration longest_;
    duration next_;
};

} // namespace sequoiaroute::core
