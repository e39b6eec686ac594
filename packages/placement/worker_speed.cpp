#include "placement/worker_speed.hpp"

#include <algorithm>
#include <cmath>

namespace sequoiaroute::placement {

namespace {

/// The number of sample groups kept; the oldest are dropped.
constexpr std::size_t max_groups = 64;
/// A median of fewer run times is too uncertain to compare with.
constexpr std::size_t min_samples = 4;
/// The least weight of a new sample in the average, so that an estimate still
/// follows changes after many samples.
constexpr double min_weight = 0.2;
/// Limit of the logarithm of a ratio (a factor of two): larger differences come
/// from a fault, not from the speed of the worker.
constexpr double max_log_ratio = 0.7;
/// Smaller logarithms of a ratio hardly change decisions.
constexpr double min_notable_log_ratio = 0.15;
/// Scale from the logarithm of a ratio to slowness.
constexpr double slowness_per_log_ratio = 10;

double median(std::vector<double> values)
{
    auto const middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

worker_speed::sample_group& worker_speed::find_group(std::string const& name)
{
    auto const found =
        std::find_if(groups_.begin(), groups_.end(),
                     [&](auto const& group) { return group.name == name; });
    if (found != groups_.end())
        return *found;
    groups_.push_back({name, {}});
    if (groups_.size() > max_groups)
        groups_.pop_front();
    return groups_.back();
}

void worker_speed::record(std::string const& agent, std::string const& group,
                          core::duration run_time)
{
    auto const milliseconds =
        std::max(static_cast<double>(run_time.count()), 1.0);
    auto& samples = find_group(group).run_times;
    samples.push_back(milliseconds);
    if (samples.size() < min_samples)
        return;
    auto const ratio = std::clamp(std::log(milliseconds / median(samples)),
                                  -max_log_ratio, max_log_ratio);
    auto& estimate = estimates_[agent];
    ++estimate.samples;
    auto const weight = std::max(min_weight, 1.0 / (estimate.samples + 1));
    estimate.log_ratio += weight * (ratio - estimate.log_ratio);
}

worker_speed::estimates worker_speed::notable_estimates() const
{
    auto notable = estimates_;
    std::erase_if(notable, [](auto const& item) {
        return std::abs(item.second.log_ratio) < min_notable_log_ratio;
    });
    return notable;
}

void worker_speed::restore(estimates const& earlier)
{
    estimates_.insert(earlier.begin(), earlier.end());
}

std::int32_t worker_speed::slowness(std::string const& agent) const
{
    auto const found = estimates_.find(agent);
    if (found == estimates_.end())
        return 0;
    return static_cast<std::int32_t>(
        std::lround(found->second.log_ratio * slowness_per_log_ratio));
}

} // namespace sequoiaroute::placement
