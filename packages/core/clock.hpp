#pragma once

#include <chrono>

namespace sequoiaroute::core {

/// The resolution of all durations and times: one millisecond.
using duration = std::chrono::milliseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A source of monotonic time. There is no wall-clock time, because times of
/// different machines are never compared.
class clock
{
public:
    virtual ~clock() = default;

    /// @return the current monotonic time
    virtual time_point now() const = 0;
};

/// The monotonic clock of this machine.
class system_clock final : public clock
{
public:
    time_point now() const override
    {
        return std::chrono::time_point_cast<duration>(
            std::chrono::steady_clock::now());
    }
};

} // namespace sequoiaroute::core
