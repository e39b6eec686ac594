#pragma once

#include "core/clock.hpp"
#include "jobs/rules.hpp"

#include <memory>

namespace sequoiaroute::gateway {

/// Provides the rules in force: the operators' configuration of queues and
/// customers.
class rules_source
{
public:
    virtual ~rules_source() = default;

    /// @return the newest rules, or null if none have been read yet; their
    ///         version never decreases
    virtual std::shared_ptr<jobs::rules const> current() const = 0;

    /// @return the time since these rules were last confirmed to be the newest
    virtual core::duration age() const = 0;
};

} // namespace sequoiaroute::gateway
