#include "targets/target_record.hpp"

#include <algorithm>

namespace sequoiaroute::targets {

namespace {

/// Incarnations that are remembered per target. An agent would have to restart
/// this often within the flight time of a message to revive one.
constexpr std::size_t superseded_limit = 16;
constexpr std::size_t unordered_limit = 16;

} // namespace

bool target_record::take_report(peers::target_report const& report,
                                core::time_point now)
{
    if (is_superseded(report.incarnation))
        return false;
    if (report.incarnation == report_.incarnation) {
        // A copy that was delayed on the way says nothing about the present.
        if (report.sequence <= report_.sequence)
            return true;
    } else if (heard_at_) {
        supersede(report_.incarnation);
    }
    adopt(report, now);
    record_contact(now);
    return true;
}

void target_record::adopt(peers::target_report const& report,
                          core::time_point heard_at)
{
    report_ = report;
    heard_at_ = heard_at;
    unordered_.erase(report.incarnation);
    if (failed_at_ && heard_at > *failed_at_)
        failed_at_.reset();
}

void target_record::take_same_incarnation(peers::target_report const& report,
                                          core::time_point heard_at)
{
    auto const newest = std::max(heard_at, *heard_at_);
    if (report.sequence > report_.sequence)
        adopt(report, newest);
    else if (report.sequence == report_.sequence)
        adopt(report_, newest);
}

void target_record::take_delta(peers::target_delta const& delta,
                               core::time_point heard_at)
{
    for (auto const& incarnation : delta.superseded)
        supersede(incarnation);
    auto const& incarnation = delta.report.incarnation;
    if (is_superseded(incarnation))
        return;
    if (!heard_at_ || is_superseded(report_.incarnation)) {
        adopt(delta.report, heard_at);
        return;
    }
    if (incarnation == report_.incarnation) {
        take_same_incarnation(delta.report, heard_at);
        return;
    }
    // Neither entry saw one incarnation follow the other. The later one is
    // shown, but none counts as ended.
    if (unordered_.size() >= unordered_limit)
        return;
    if (heard_at > *heard_at_) {
        unordered_[report_.incarnation] = *heard_at_;
        adopt(delta.report, heard_at);
    } else {
        auto& heard =
            unordered_.try_emplace(incarnation, heard_at).first->second;
        heard = std::max(heard, heard_at);
    }
}

void target_record::record_contact(core::time_point now)
{
    heard_at_ = now;
    heard_here_at_ = now;
    failed_at_.reset();
}

known_target target_record::view(core::time_point now,
                                 core::duration suspect_after) const
{
    auto const age = now - heard_at_.value_or(now);
    return {report_, age, failed_at_.has_value() || age > suspect_after};
}

peers::target_delta target_record::delta(core::time_point now) const
{
    return {report_, (now - heard_at_.value_or(now)).count(), superseded_};
}

bool target_record::is_heard_here_since(core::time_point time) const
{
    return heard_here_at_ && *heard_here_at_ >= time;
}

bool target_record::is_superseded(std::string_view incarnation) const
{
    return std::find(superseded_.begin(), superseded_.end(), incarnation) !=
           superseded_.end();
}

std::optional<core::time_point>
target_record::last_heard(std::string_view incarnation) const
{
    if (incarnation == report_.incarnation)
        return heard_at_;
    auto const found = unordered_.find(incarnation);
    if (found == unordered_.end())
        return std::nullopt;
    return found->second;
}

void target_record::supersede(std::string const& incarnation)
{
    if (is_superseded(incarnation))
        return;
    unordered_.erase(incarnation);
    superseded_.push_back(incarnation);
    if (superseded_.size() > superseded_limit)
        superseded_.erase(superseded_.begin());
}

} // namespace sequoiaroute::targets
