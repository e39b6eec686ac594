#include "policy/queue_order.hpp"

#include <algorithm>
#include <cmath>

namespace sequoiaroute::policy {

namespace {

using hours = std::chrono::duration<double, std::ratio<3600>>;

/// Points of a job that must start now to meet its deadline; as many as for 20
/// units of priority.
constexpr double deadline_points = 4.0;
/// Points per unit of priority in the rules.
constexpr double priority_points = 0.2;

double deadline_score(job_view const& job, core::time_point now,
                      core::duration expected)
{
    if (job.deadline == core::time_point::max())
        return 0;
    auto const slack = hours(job.deadline - now - expected).count();
    // A job that misses its deadline by over an hour gains nothing from an
    // earlier start.
    if (slack < -1)
        return 0;
    return deadline_points / (1 + std::max(0.0, slack));
}

int priority_of(rule_set const& rules, std::string const& customer)
{
    auto const found = rules.customers.find(customer);
    return found == rules.customers.end() ? 0 : found->second.priority;
}

} // namespace

std::vector<queued_job> queue_order(cluster_view const& cluster,
                                    core::time_point now,
                                    policy_weights const& weights,
                                    run_time_history const& history)
{
    std::vector<queued_job> queue;
    queue.reserve(cluster.pending.size());
    for (auto const& job : cluster.pending) {
        auto const age = now - job.submitted_at;
        auto const expected = history.estimate(job).median;
        auto const minutes = std::max(1.0, 60 * hours(expected).count());
        auto const accelerators =
            std::max(1, job.members * job.member.accelerators);
        bool const is_starving = age >= weights.starvation_age;
        queue.push_back(
            {.job = &job,
             .is_first_tier = job.is_urgent || is_starving,
             .is_starving = is_starving,
             .score =
                 priority_points * priority_of(cluster.rules, job.customer) +
                 weights.ageing_per_hour * hours(age).count() +
                 deadline_score(job, now, expected) -
                 weights.completion_time * std::log2(minutes) +
                 weights.fragmentation * std::log2(accelerators)});
    }
    std::sort(queue.begin(), queue.end(),
              [](auto const& left, auto const& right) {
                  if (left.is_first_tier != right.is_first_tier)
                      return left.is_first_tier;
                  if (left.is_starving != right.is_starving)
                      return left.is_starving;
                  if (left.is_starving || left.score == right.score)
                      return left.job->submitted_at < right.job->submitted_at;
                  return left.score > right.score;
              });
    return queue;
}

} // namespace sequoiaroute::policy
