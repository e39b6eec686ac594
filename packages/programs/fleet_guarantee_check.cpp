#include "programs/fleet_guarantee_check.hpp"

#include "policy/guarantee_check.hpp"

#include <vector>

namespace sequoiaroute::programs {

core::status fleet_guarantee_check::check(policy::rule_set const& rules) const
{
    std::vector<policy::worker_view> workers;
    for (auto const& target : directory_.targets(peers::target_kind::worker)) {
        auto const& report = target.report;
        workers.push_back({report.target_id, report.data_centre, report.rack,
                           report.total, report.total, true});
    }
    return policy::check_guarantees(rules, workers);
}

} // namespace sequoiaroute::programs
