#pragma once

#include "operators/guarantee_check.hpp"
#include "targets/target_directory.hpp"

namespace sequoiaroute::programs {

/// Checks guarantees against the total capacity of all known workers, also of
/// those in use and of those that accept no work now.
class fleet_guarantee_check final : public operators::guarantee_check
{
public:
    /// @param directory the known targets; must outlive this object
    explicit fleet_guarantee_check(targets::target_directory const& directory)
        : directory_(directory)
    {
    }

    core::status check(policy::rule_set const& rules) const override;

private:
    targets::target_directory const& directory_;
};

} // namespace sequoiaroute::programs
