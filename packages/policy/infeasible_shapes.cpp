#include "policy/infeasible_shapes.hpp"

#include <algorithm>

namespace sequoiaroute::policy {

bool infeasible_shapes::excludes(job_view const& job, capacity_pool tried,
                                 std::size_t customer) const
{
    auto const& need = job.member;
    return std::any_of(
        shapes_.begin(), shapes_.end(), [&](shape const& failed) {
            return failed.tried == tried && failed.customer == customer &&
                   failed.member.accelerators <= need.accelerators &&
                   failed.member.cores <= need.cores &&
                   failed.member.memory_megabytes <= need.memory_megabytes &&
                   failed.members <= job.members && failed.within <= job.within;
        });
}

void infeasible_shapes::record(job_view const& job, capacity_pool tried,
                               std::size_t customer)
{
    shapes_.push_back({tried, customer, job.member, job.members, job.within});
}

} // namespace sequoiaroute::policy
