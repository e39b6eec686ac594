#pragma once

#include "core/clock.hpp"

#include <algorithm>
#include <cstdint>

#include <sys/time.h>

namespace sequoiaroute::event {

/// @return a duration as libevent takes it; 0 for a negative one
inline timeval to_timeval(core::duration time)
{
    auto const milliseconds = std::max<std::int64_t>(time.count(), 0);
    return {milliseconds / 1000, (milliseconds % 1000) * 1000};
}

} // namespace sequoiaroute::event
