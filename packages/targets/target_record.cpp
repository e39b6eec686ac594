#include "targets/target_record.hpp"

#include <algorithm>

namespace sequoiaroute::targets {

namespace {

/// Incarnations stored per target. A delayed message of a superseded
/// incarnation would be accepted again only if the agent restarted this often
/// while the message was in flight.
constexpr std::size_t max_superseded = 16;
constexpr std::size_t max_unordered = 16;

} // namespace

bool target_record::apply_report(peers::target_report const& report,
                                 core::time_point now)
{
    if (is_superseded(report.incarnation))
        return false;
    if (report.incarnation == report_.incarnation) {
        // A delayed report is no evidence of a current contact.
        if (report.sequence <= report_.sequence)
            return true;
    } else if (last_contact_at_) {
        supersede(report_.incarnation);
    }
    replace_report(report, now);
    record_contact(now);
    return true;
}

void target_record::replace_report(peers::target_report const& report,
                                   core::time_point contact_at)
{
    report_ = report;
    last_contact_at_ = contact_at;
    unordered_incarnations_.erase(report.incarnation);
    if (failed_at_ && contact_at > *failed_at_)
        failed_at_.reset();
}

void target_record::apply_same_incarnation(peers::target_report const& report,
                                           core::time_point contact_at)
{
    auto const newest = std::max(contact_at, *last_contact_at_);
    if (report.sequence > report_.sequence)
        replace_report(report, newest);
    else if (report.sequence == report_.sequence)
        replace_report(report_, newest);
}

void target_record::apply_update(peers::target_update const& update,
                                 core::time_point contact_at)
{
    for (auto const& incarnation : update.superseded)
        supersede(incarnation);
    auto const& incarnation = update.report.incarnation;
    if (is_superseded(incarnation))
        return;
    if (!last_contact_at_ || is_superseded(report_.incarnation)) {
        replace_report(update.report, contact_at);
        return;
    }
    if (incarnation == report_.incarnation) {
        apply_same_incarnation(update.report, contact_at);
        return;
    }
    // Neither entry saw one incarnation replace the other. The one with the
    // later contact becomes current, but the other is not superseded.
    if (unordered_incarnations_.size() >= max_unordered)
        return;
    if (contact_at > *last_contact_at_) {
        unordered_incarnations_[report_.incarnation] = *last_contact_at_;
        replace_report(update.report, contact_at);
    } else {
        auto& last =
            unordered_incarnations_.try_emplace(incarnation, contact_at)
                .first->second;
        last = std::max(last, contact_at);
    }
}

void target_record::record_contact(core::time_point now)
{
    last_contact_at_ = now;
    direct_contact_at_ = now;
    failed_at_.reset();
}

known_target target_record::view(core::time_point now,
                                 core::duration suspect_after) const
{
    auto const age = now - last_contact_at_.value_or(now);
    return {report_, age, failed_at_.has_value() || age > suspect_after};
}

peers::target_update target_record::make_update(core::time_point now) const
{
    return {report_, (now - last_contact_at_.value_or(now)).count(),
            superseded_};
}

bool target_record::had_direct_contact_since(core::time_point time) const
{
    return direct_contact_at_ && *direct_contact_at_ >= time;
}

bool target_record::is_superseded(std::string_view incarnation) const
{
    return std::find(superseded_.begin(), superseded_.end(), incarnation) !=
           superseded_.end();
}

std::optional<core::time_point>
target_record::last_contact(std::string_view incarnation) const
{
    if (incarnation == report_.incarnation)
        return last_contact_at_;
    auto const found = unordered_incarnations_.find(incarnation);
    if (found == unordered_incarnations_.end())
        return std::nullopt;
    return found->second;
}

void target_record::supersede(std::string const& incarnation)
{
    if (is_superseded(incarnation))
        return;
    unordered_incarnations_.erase(incarnation);
    superseded_.push_back(incarnation);
    if (superseded_.size() > max_superseded)
        superseded_.erase(superseded_.begin());
}

} // namespace sequoiaroute::targets
