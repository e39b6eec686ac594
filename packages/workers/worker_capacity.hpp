#pragma once

#include "policy/scheduling.hpp"

namespace sequoiaroute::workers {

/// Adds the resources of one member to a sum.
inline void add(policy::resources& sum, policy::resources const& member)
{
    sum.cores += member.cores;
    sum.memory_megabytes += member.memory_megabytes;
    sum.accelerators += member.accelerators;
}

/// Checks whether a worker has enough free resources for one more member.
/// @param total the resources of the worker
/// @param in_use the resources that other members hold
/// @param requested the resources that the member needs
/// @return true if the member fits; false also for a negative request
inline bool has_capacity(policy::resources const& total,
                         policy::resources in_use,
                         policy::resources const& requested)
{
    if (requested.cores < 0 || requested.memory_megabytes < 0 ||
        requested.accelerators < 0)
        return false;
    add(in_use, requested);
    return in_use.cores <= total.cores &&
           in_use.memory_megabytes <= total.memory_megabytes &&
           in_use.accelerators <= total.accelerators;
}

} // namespace sequoiaroute::workers
