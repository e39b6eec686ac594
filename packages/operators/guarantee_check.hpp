#pragma once

#include "core/result.hpp"
#include "policy/rules.hpp"

namespace sequoiaroute::operators {

/// Checks whether the fleet can fulfil all guarantees of a rule file at once.
class guarantee_check
{
public:
    virtual ~guarantee_check() = default;

    /// @param rules the parsed rule file
    /// @return ok, or guarantees_do_not_fit with a message for the operator
    virtual core::status check(policy::rule_set const& rules) const = 0;
};

} // namespace sequoiaroute::operators
