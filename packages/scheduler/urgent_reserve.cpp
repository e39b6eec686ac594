#include "scheduler/urgent_reserve.hpp"

#include <algorithm>

namespace sequoiaroute::scheduler {

namespace {

/// For how long a peak counts.
constexpr core::duration memory{8000};
/// Equal samples closer than this are one.
constexpr core::duration least_distance{200};
/// Patient work keeps the rest in any case.
constexpr std::int64_t largest_percent = 25;

} // namespace

void urgent_reserve::observe(std::string const& service,
                             std::int64_t accelerators, core::time_point now)
{
    auto& samples = samples_[service];
    while (!samples.empty() && now - samples.front().at > memory)
        samples.pop_front();
    if (!samples.empty() && now - samples.back().at < least_distance) {
        samples.back().accelerators =
            std::max(samples.back().accelerators, accelerators);
        return;
    }
    samples.push_back({now, accelerators});
}

std::int64_t urgent_reserve::wanted(std::string const& service,
                                    std::int64_t capacity) const
{
    auto const found = samples_.find(service);
    if (found == samples_.end() || found->second.empty())
        return 0;
    std::int64_t peak = 0;
    for (auto const& sample : found->second)
        peak = std::max(peak, sample.accelerators);
    auto const unused = peak - found->second.back().accelerators;
    return std::clamp<std::int64_t>(unused, 0,
                                    capacity * largest_percent / 100);
}

} // namespace sequoiaroute::scheduler
