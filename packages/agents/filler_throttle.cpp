#include "agents/filler_throttle.hpp"

#include <algorithm>
#include <set>

namespace sequoiaroute::agents {

namespace {

constexpr std::int32_t full_share_percent = 100;
/// Response times cover the last 500 ms, and a new limit takes another 100 ms
/// to take effect, so that a shorter period would react to outdated
/// measurements.
constexpr core::duration adjust_period{600};
/// What remains of the limit after each decrease, in percent.
constexpr std::int32_t decreased_share_percent = 40;
/// A lower limit is rounded down to 0.
constexpr std::int32_t min_share_percent = 10;
constexpr std::int32_t share_increase_percent = 10;
/// The limit grows while the response times of all serving tasks are below this
/// fraction of their targets.
constexpr double increase_threshold = 0.8;

/// @return the response time as a fraction of its target
double latency_ratio(filler_throttle::observed_run const& observed)
{
    return static_cast<double>(observed.response_time.count()) /
           static_cast<double>(observed.response_target.count());
}

} // namespace

std::int32_t filler_throttle::share_of(jobs::run_id const& run) const
{
    auto const found = applied_shares_.find(run);
    return found == applied_shares_.end() ? full_share_percent : found->second;
}

void filler_throttle::adjust_share(std::span<observed_run const> runs,
                                   core::time_point now)
{
    if (now - adjusted_at_ < adjust_period)
        return;
    adjusted_at_ = now;
    double highest_ratio = 0;
    for (auto const& observed : runs) {
        if (observed.response_target > core::duration(0))
            highest_ratio = std::max(highest_ratio, latency_ratio(observed));
    }
    if (highest_ratio > 1) {
        filler_share_ =
            filler_share_ * decreased_share_percent / full_share_percent;
        if (filler_share_ < min_share_percent)
            filler_share_ = 0;
    } else if (highest_ratio < increase_threshold) {
        filler_share_ = std::min(filler_share_ + share_increase_percent,
                                 full_share_percent);
    }
}

std::vector<filler_throttle::share_change>
filler_throttle::update(std::span<observed_run const> runs,
                        core::time_point now)
{
    bool const has_serving =
        std::any_of(runs.begin(), runs.end(), [](auto const& observed) {
            return observed.response_target > core::duration(0);
        });
    bool const has_fillers =
        std::any_of(runs.begin(), runs.end(),
                    [](auto const& observed) { return observed.is_filler; });
    is_active_ = has_serving && has_fillers;
    if (!has_serving)
        filler_share_ = full_share_percent;
    else if (has_fillers)
        adjust_share(runs, now);
    std::vector<share_change> changes;
    std::set<jobs::run_id> present;
    for (auto const& observed : runs) {
        present.insert(observed.run);
        if (!observed.is_filler || share_of(observed.run) == filler_share_)
            continue;
        applied_shares_[observed.run] = filler_share_;
        changes.push_back({observed.run, filler_share_});
    }
    std::erase_if(applied_shares_, [&](auto const& item) {
        return !present.contains(item.first);
    });
    return changes;
}

} // namespace sequoiaroute::agents
