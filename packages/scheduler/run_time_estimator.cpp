#include "scheduler/run_time_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace sequoiaroute::scheduler {

namespace {

/// An estimate is corrected only after this many runs of its queue.
constexpr std::int64_t min_runs = 4;
/// Lower bound, so that a few equal runs do not give a weight near 0 or 1.
constexpr double min_variance = 0.01;

double log_of(core::duration time)
{
    return std::log(std::max(static_cast<double>(time.count()), 1.0));
}

} // namespace

void run_time_estimator::welford_accumulator::add(double value)
{
    ++count;
    auto const delta = value - mean;
    mean += delta / static_cast<double>(count);
    squared_deviations += delta * (value - mean);
}

double run_time_estimator::welford_accumulator::variance() const
{
    return std::max(squared_deviations / static_cast<double>(count - 1),
                    min_variance);
}

void run_time_estimator::record(std::string const& queue,
                                core::duration estimate,
                                core::duration run_time)
{
    auto& queue_history = queues_[queue];
    queue_history.run_time.add(log_of(run_time));
    queue_history.estimate_error.add(log_of(run_time) - log_of(estimate));
}

core::duration
run_time_estimator::expected_run_time(std::string const& queue,
                                      core::duration estimate) const
{
    auto const found = queues_.find(queue);
    if (found == queues_.end() || found->second.run_time.count < min_runs)
        return estimate;
    auto const& queue_history = found->second;
    auto const corrected_log =
        log_of(estimate) + queue_history.estimate_error.mean;
    auto const mean_log = queue_history.run_time.mean;
    auto const estimate_weight = queue_history.run_time.variance() /
                                 (queue_history.run_time.variance() +
                                  queue_history.estimate_error.variance());
    auto const expected_log =
        estimate_weight * corrected_log + (1 - estimate_weight) * mean_log;
    return core::duration(static_cast<std::int64_t>(std::exp(expected_log)));
}

std::vector<core::duration>
run_time_estimator::expected_step_times(jobs::submission const& job) const
{
    std::vector<core::duration> times;
    times.reserve(job.spec.steps.size());
    for (auto const& step : job.spec.steps)
        times.push_back(expected_run_time(job.parameters.queue, step.estimate));
    return times;
}

core::duration
run_time_estimator::expected_critical_path(jobs::submission const& job) const
{
    return jobs::critical_path_time(job.spec, expected_step_times(job));
}

} // namespace sequoiaroute::scheduler
