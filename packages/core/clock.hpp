#pragma once

#include <chrono>
#include <ctime>

namespace sequoiaroute::core {

/// The resolution of all durations and times: one millisecond.
using duration = std::chrono::milliseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// @return a duration multiplied by a factor of 0 or more; the longest one if
///         the product is longer
inline duration scaled(duration time, double factor)
{
    auto const product = static_cast<double>(time.count()) * factor;
    if (product >= static_cast<double>(duration::max().count()))
        return duration::max();
    return duration(static_cast<duration::rep>(product));
}

/// A source of monotonic time, which also passes while the machine is
/// suspended. There is no wall-clock time, because times of different machines
/// are never compared.
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
        // std::chrono::steady_clock stops while the machine is suspended, and a
        // lease would then seem to be valid for longer than it is.
        timespec now{};
        clock_gettime(CLOCK_BOOTTIME, &now);
        return time_point(std::chrono::duration_cast<duration>(
            std::chrono::seconds(now.tv_sec) +
            std::chrono::nanoseconds(now.tv_nsec)));
    }
};

} // namespace sequoiaroute::core
