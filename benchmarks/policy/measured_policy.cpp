#include "policy/measured_policy.hpp"

#include "policy/best_fit_backfill_policy.hpp"
#include "policy/cell_policy.hpp"
#include "policy/first_fit_policy.hpp"

namespace sequoiaroute::benchmarks {

std::vector<measured_policy> measured_policies()
{
    using policy_pointer = std::unique_ptr<policy::placement_policy>;
    return {{"first fit",
             []() -> policy_pointer {
                 return std::make_unique<policy::first_fit_policy>();
             }},
            {"backfill",
             []() -> policy_pointer {
                 return std::make_unique<best_fit_backfill_policy>(false);
             }},
            {"backfill, urgent first",
             []() -> policy_pointer {
                 return std::make_unique<best_fit_backfill_policy>(true);
             }},
            {"cells, completion",
             []() -> policy_pointer {
                 return std::make_unique<policy::cell_policy>(
                     policy::completion_time_weights);
             }},
            {"cells, fragmentation", []() -> policy_pointer {
                 return std::make_unique<policy::cell_policy>(
                     policy::fragmentation_weights);
             }}};
}

} // namespace sequoiaroute::benchmarks
