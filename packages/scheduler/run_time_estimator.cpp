#include "scheduler/run_time_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace sequoiaroute::scheduler {

namespace {

/// Fewer runs than this say too little to correct an estimate.
constexpr std::int64_t least_runs = 4;
/// Keeps a guess from being taken for exact after a few equal runs.
constexpr double least_variance = 0.01;

double log_of(core::duration time)
{
    return std::log(std::max(static_cast<double>(time.count()), 1.0));
}

} // namespace

void run_time_estimator::statistics::add(double value)
{
    ++count;
    auto const step = value - mean;
    mean += step / static_cast<double>(count);
    squares += step * (value - mean);
}

double run_time_estimator::statistics::variance() const
{
    return std::max(squares / static_cast<double>(count - 1), least_variance);
}

void run_time_estimator::record(std::string const& queue,
                                core::duration estimate, core::duration taken)
{
    auto& known = queues_[queue];
    known.run_time.add(log_of(taken));
    known.estimate_error.add(log_of(taken) - log_of(estimate));
}

core::duration run_time_estimator::expected(std::string const& queue,
                                            core::duration estimate) const
{
    auto const found = queues_.find(queue);
    if (found == queues_.end() || found->second.run_time.count < least_runs)
        return estimate;
    auto const& known = found->second;
    auto const corrected = log_of(estimate) + known.estimate_error.mean;
    auto const usual = known.run_time.mean;
    auto const weight =
        known.run_time.variance() /
        (known.run_time.variance() + known.estimate_error.variance());
    auto const expected = weight * corrected + (1 - weight) * usual;
    return core::duration(static_cast<std::int64_t>(std::exp(expected)));
}

core::duration
run_time_estimator::expected_chain(jobs::submission const& job) const
{
    std::vector<core::duration> times;
    times.reserve(job.spec.steps.size());
    for (auto const& step : job.spec.steps)
        times.push_back(expected(job.parameters.queue, step.estimate));
    return jobs::critical_path_time(job.spec, times);
}

} // namespace sequoiaroute::scheduler
