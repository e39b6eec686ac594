#include "agents/filler_throttle.hpp"

#include <algorithm>
#include <set>

namespace sequoiaroute::agents {

namespace {

constexpr std::int32_t whole_share = 100;
/// Response times are those of the last half second, and a share is in force a
/// tenth of a second later.
constexpr core::duration adjust_period{600};
constexpr std::int32_t cut_percent = 40;
constexpr std::int32_t least_share = 10;
constexpr std::int32_t growth = 10;
/// Fillers get more while all serving tasks are below this share of their
/// target.
constexpr double calm_load = 0.8;

double load_of(filler_throttle::subject const& subject)
{
    return static_cast<double>(subject.response_time.count()) /
           static_cast<double>(subject.response_target.count());
}

} // namespace

std::int32_t filler_throttle::share_of(jobs::run_id const& run) const
{
    auto const found = set_.find(run);
    return found == set_.end() ? whole_share : found->second;
}

void filler_throttle::adjust(std::span<subject const> subjects,
                             core::time_point now)
{
    if (now - adjusted_at_ < adjust_period)
        return;
    adjusted_at_ = now;
    double highest = 0;
    for (auto const& subject : subjects) {
        if (subject.response_target > core::duration(0))
            highest = std::max(highest, load_of(subject));
    }
    if (highest > 1) {
        share_ = share_ * cut_percent / whole_share;
        if (share_ < least_share)
            share_ = 0;
    } else if (highest < calm_load) {
        share_ = std::min(share_ + growth, whole_share);
    }
}

std::vector<filler_throttle::change>
filler_throttle::update(std::span<subject const> subjects, core::time_point now)
{
    bool const has_serving =
        std::any_of(subjects.begin(), subjects.end(), [](auto const& subject) {
            return subject.response_target > core::duration(0);
        });
    bool const has_fillers =
        std::any_of(subjects.begin(), subjects.end(),
                    [](auto const& subject) { return subject.is_filler; });
    is_needed_ = has_serving && has_fillers;
    if (!has_serving)
        share_ = whole_share;
    else if (has_fillers)
        adjust(subjects, now);
    std::vector<change> changes;
    std::set<jobs::run_id> present;
    for (auto const& subject : subjects) {
        present.insert(subject.run);
        if (!subject.is_filler || share_of(subject.run) == share_)
            continue;
        set_[subject.run] = share_;
        changes.push_back({subject.run, share_});
    }
    std::erase_if(
        set_, [&](auto const& item) { return !present.contains(item.first); });
    return changes;
}

} // namespace sequoiaroute::agents
