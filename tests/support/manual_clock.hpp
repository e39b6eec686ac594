#pragma once

#include "core/clock.hpp"

#include <atomic>

namespace sequoiaroute::support {

/// A clock that only advances when a test advances it.
class manual_clock final : public core::clock
{
public:
    core::time_point now() const override
    {
        return core::time_point(core::duration(now_ms_.load()));
    }

    void advance(core::duration step) { now_ms_ += step.count(); }

private:
    std::atomic<core::duration::rep> now_ms_{1'000'000};
};

} // namespace sequoiaroute::support
