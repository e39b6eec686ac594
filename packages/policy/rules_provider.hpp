#pragma once

#include "core/result.hpp"
#include "policy/rules.hpp"

#include <memory>

namespace sequoiaroute::policy {

/// Provides the rules in force at this entry.
class rules_provider
{
public:
    virtual ~rules_provider() = default;

    /// @return the rules in force; never null, generation 0 if there are none
    virtual std::shared_ptr<rule_set const> rules() const = 0;

    /// Checks whether new work may be admitted under these rules.
    /// @return ok, not_ready if there are no rules, or rules_unconfirmed if
    ///         the rules were not confirmed in time
    virtual core::status admission_state() const = 0;
};

} // namespace sequoiaroute::policy
