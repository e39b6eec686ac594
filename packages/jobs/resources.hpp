#pragma once

#include <compare>
#include <cstdint>

namespace sequoiaroute::jobs {

/// Amounts of resources that a task requests or that a worker has. Differences
/// may be negative.
struct resources
{
    std::int64_t millicores = 0; ///< thousandths of a CPU core
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(resources const&) const = default;

    resources& operator+=(resources const& other)
    {
        millicores += other.millicores;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }
    resources& operator-=(resources const& other)
    {
        millicores -= other.millicores;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }
    friend resources operator+(resources left, resources const& right)
    {
        return left += right;
    }
    friend resources operator-(resources left, resources const& right)
    {
        return left -= right;
    }

    /// @return whether none of the amounts exceeds the available one
    bool fits_into(resources const& available) const
    {
        return millicores <= available.millicores &&
               memory_mb <= available.memory_mb &&
               accelerators <= available.accelerators;
    }
};

} // namespace sequoiaroute::jobs
