#include "placement/worker_speed.hpp"

#include <algorithm>
#include <cmath>

namespace sequoiaroute::placement {

namespace {

constexpr std::size_t kept_groups = 64;
/// The median of fewer run times says little.
constexpr std::size_t least_samples = 4;
/// Later samples change an estimate by this share at least.
constexpr double least_weight = 0.2;
/// A ratio beyond this comes from a fault, not from the worker's kind.
constexpr double largest_log_ratio = 0.7;
constexpr double steps_per_unit = 10;

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
    if (groups_.size() > kept_groups)
        groups_.pop_front();
    return groups_.back();
}

void worker_speed::record(std::string const& agent, std::string const& group,
                          core::duration taken)
{
    auto const seconds = std::max(static_cast<double>(taken.count()), 1.0);
    auto& samples = find_group(group).seconds;
    samples.push_back(seconds);
    if (samples.size() < least_samples)
        return;
    auto const ratio = std::clamp(std::log(seconds / median(samples)),
                                  -largest_log_ratio, largest_log_ratio);
    auto& known = workers_[agent];
    ++known.samples;
    auto const weight = std::max(least_weight, 1.0 / (known.samples + 1));
    known.log_ratio += weight * (ratio - known.log_ratio);
}

std::int32_t worker_speed::slowness(std::string const& agent) const
{
    auto const found = workers_.find(agent);
    if (found == workers_.end())
        return 0;
    return static_cast<std::int32_t>(
        std::lround(found->second.log_ratio * steps_per_unit));
}

} // namespace sequoiaroute::placement
