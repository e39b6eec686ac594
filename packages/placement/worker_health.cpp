#include "placement/worker_health.hpp"

#include <set>

namespace sequoiaroute::placement {

namespace {

/// Older failures do not count, so that a repaired worker is soon used again.
constexpr core::duration failure_window{6000};
/// How long a worker is avoided after its executor refused a run.
constexpr core::duration refusal_backoff{1000};
/// A worker is avoided once runs of this many different jobs failed on it.
constexpr std::size_t min_failing_jobs = 2;
/// The number of failures kept per worker; the oldest are dropped.
constexpr std::size_t max_failures = 16;

} // namespace

void worker_health::record_failure(std::string const& agent,
                                   std::string const& job, core::time_point now)
{
    auto& failures = records_[agent].failures;
    failures.push_back({job, now});
    if (failures.size() > max_failures)
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
    auto const& history = found->second;
    if (history.refused_at != core::time_point{} &&
        now - history.refused_at < refusal_backoff)
        return true;
    std::set<std::string> jobs;
    for (auto const& failure : history.failures) {
        if (now - failure.at < failure_window)
            jobs.insert(failure.job);
    }
    return jobs.size() >= min_failing_jobs;
}

double worker_health::recent_failures(std::string const& agent,
                                      core::time_point now) const
{
    auto const found = records_.find(agent);
    if (found == records_.end())
        return 0;
    double count = 0;
    for (auto const& failure : found->second.failures) {
        if (now - failure.at < failure_window)
            count += 1;
    }
    return count;
}

void worker_health::discard_worker(std::string const& agent)
{
    records_.erase(agent);
}

} // namespace sequoiaroute::placement
