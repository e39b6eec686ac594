#include "policy/infeasible_shapes.hpp"

#include <algorithm>

namespace sequoiaroute::policy {

bool infeasible_shapes::excludes(job_view const& job, capacity_pool pool,
                                 std::size_t customer) const
{
    auto const& need = job.member;
    return std::any_of(
        shapes_.begin(), shapes_.end(), [&](shape const& infeasible) {
            return infeasible.pool == pool && infeasible.customer == customer &&
                   infeasible.member.accelerators <= need.accelerators &&
                   infeasible.member.cores <= need.cores &&
                   infeasible.member.memory_megabytes <=
                       need.memory_megabytes &&
                   infeasible.members <= job.members &&
                   infeasible.within <= job.within;
        });
}

void infeasible_shapes::record(job_view const& job, capacity_pool pool,
                               std::size_t customer)
{
    shapes_.push_back({pool, customer, job.member, job.members, job.within});
}

} // namespace sequoiaroute::policy
