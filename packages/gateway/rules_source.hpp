#pragma once

#include "core/clock.hpp"
#include "jobs/rules.hpp"

#include <memory>

namespace sequoiaroute::gateway {

/// Where the rules in force come from.
class rules_source
{
public:
    virtual ~rules_source() = default;

    /// @return the newest rules, null if none are known yet; their version
    ///         never falls
    virtual std::shared_ptr<jobs::rules const> current() const = 0;

    /// @return how long ago these were known to be the newest
    virtual core::duration age() const = 0;
};

} // namespace sequoiaroute::gateway
