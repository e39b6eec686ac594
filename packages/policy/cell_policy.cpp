#include "policy/cell_policy.hpp"

#include "policy/scheduling_round.hpp"

namespace sequoiaroute::policy {

decision cell_policy::decide(cluster_view const& cluster, core::time_point now)
{
    while (!moves_.empty() && now - moves_.front() >= std::chrono::hours(1))
        moves_.pop_front();
    scheduling_round round(cluster, now, weights_, history_,
                           weights_.max_moves_per_hour -
                               static_cast<int>(moves_.size()),
                           std::move(claims_));
    auto decision = round.run();
    claims_ = round.claims();
    moves_.insert(moves_.end(), static_cast<std::size_t>(round.moves()), now);
    return decision;
}

void cell_policy::observe_end(job_view const& job, core::duration run_time,
                              bool has_succeeded)
{
    // The duration of a failed attempt does not show how long the work takes.
    if (has_succeeded)
        history_.record(job, run_time);
}

} // namespace sequoiaroute::policy
