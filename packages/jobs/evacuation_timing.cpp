#include "jobs/evacuation_timing.hpp"

#include <algorithm>

namespace sequoiaroute::jobs {

namespace {

/// Covers the call to the executor, which follows the check of the order.
constexpr core::duration start_call_margin{1000};
/// The least time that an order is given to reach its agent.
constexpr core::duration min_delivery_time{1000};

} // namespace

core::duration evacuation_timing::order_validity() const
{
    return std::max(bound - start_call_margin, bound / 2);
}

core::duration evacuation_timing::max_knowledge_age() const
{
    return std::max(order_validity() - min_delivery_time, order_validity() / 2);
}

} // namespace sequoiaroute::jobs
