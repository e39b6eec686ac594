#include "placement/worker_health.hpp"

#include <set>

namespace sequoiaroute::placement {

namespace {

/// How long failures count: a worker that was repaired is tried again soon.
constexpr core::duration failure_memory{6000};
constexpr core::duration refusal_pause{1000};
constexpr std::size_t failing_jobs = 2;
constexpr std::size_t kept_failures = 16;

} // namespace

void worker_health::record_failure(std::string const& agent,
                                   std::string const& job, core::time_point now)
{
    auto& failures = records_[agent].failures;
    failures.push_back({job, now});
    if (failures.size() > kept_failures)
        failures.pop_front();
}

void worker_health::record_success(std::string const& agent)
{
    if (auto const found = records_.find(agent); found != records_.end())
        found->second.failures.clear();
}

void worker_health::record_refusal(std::string const& agent,
                                   core::time_point now)
{
    records_[agent].refused_at = now;
}

bool worker_health::is_avoided(std::string const& agent,
                               core::time_point now) const
{
    auto const found = records_.find(agent);
    if (found == records_.end())
        return false;
    auto const& known = found->second;
    if (known.refused_at != core::time_point{} &&
        now - known.refused_at < refusal_pause)
        return true;
    std::set<std::string> jobs;
    for (auto const& failure : known.failures) {
        if (now - failure.at < failure_memory)
            jobs.insert(failure.job);
    }
    return jobs.size() >= failing_jobs;
}

double worker_health::penalty(std::string const& agent,
                              core::time_point now) const
{
    auto const found = records_.find(agent);
    if (found == records_.end())
        return 0;
    double sum = 0;
    for (auto const& failure : found->second.failures) {
        if (now - failure.at < failure_memory)
            sum += 1;
    }
    return sum;
}

void worker_health::forget(std::string const& agent)
{
    records_.erase(agent);
}

} // namespace sequoiaroute::placement
