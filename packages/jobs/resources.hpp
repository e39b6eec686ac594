#pragma once

#include <compare>
#include <cstdint>

namespace sequoiaroute::jobs {

/// What a task needs, or what a worker offers.
struct resources
{
    std::int64_t millicores = 0;
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

    /// @return whether this fits into what is free
    bool fits_into(resources const& free) const
    {
        return millicores <= free.millicores && memory_mb <= free.memory_mb &&
               accelerators <= free.accelerators;
    }
};

} // namespace sequoiaroute::jobs
