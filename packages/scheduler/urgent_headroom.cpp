#include "scheduler/urgent_headroom.hpp"

#include <algorithm>

namespace sequoiaroute::scheduler {

namespace {

/// A peak of urgent demand counts for this long.
constexpr core::duration peak_window{8000};
/// Samples closer together than this are merged into the larger one.
constexpr core::duration min_sample_interval{200};
/// The rest of the capacity is always left to non-urgent work.
constexpr std::int64_t max_headroom_percent = 25;

} // namespace

void urgent_headroom::observe(std::string const& service,
                              std::int64_t accelerators, core::time_point now)
{
    auto& samples = samples_[service];
    while (!samples.empty() && now - samples.front().observed_at > peak_window)
        samples.pop_front();
    if (!samples.empty() &&
        now - samples.back().observed_at < min_sample_interval) {
        samples.back().accelerators =
            std::max(samples.back().accelerators, accelerators);
        return;
    }
    samples.push_back({now, accelerators});
}

std::int64_t
urgent_headroom::accelerators_to_keep_free(std::string const& service,
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
                                    capacity * max_headroom_percent / 100);
}

} // namespace sequoiaroute::scheduler
