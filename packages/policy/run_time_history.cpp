#include "policy/run_time_history.hpp"

#include <algorithm>

namespace sequoiaroute::policy {

void run_time_history::samples::add(core::duration value)
{
    if (values.size() < max_samples)
        values.push_back(value);
    else
        values[next_index] = value;
    next_index = (next_index + 1) % max_samples;
    auto sorted = values;
    std::sort(sorted.begin(), sorted.end());
    estimate.median = sorted[sorted.size() / 2];
    estimate.percentile_90 = sorted[sorted.size() * 9 / 10];
}

void run_time_history::record(job_view const& job, core::duration run_time)
{
    samples_by_kind_[key(job.customer, job.kind)].add(run_time);
    all_samples_.add(run_time);
}

run_time_estimate run_time_history::estimate(job_view const& job) const
{
    auto const found = samples_by_kind_.find(key_view(job.customer, job.kind));
    return found == samples_by_kind_.end() ? all_samples_.estimate
                                           : found->second.estimate;
}

core::duration
run_time_history::expected_remaining(job_view const& job,
                                     core::duration elapsed) const
{
    auto const percentile_90 = estimate(job).percentile_90;
    return elapsed < percentile_90 ? percentile_90 - elapsed : elapsed;
}

} // namespace sequoiaroute::policy
