#include "workers/gang_monitor.hpp"

#include <fmt/format.h>

namespace sequoiaroute::workers {

namespace {

/// A stopped gang is kept for this multiple of the silence limit, so that late
/// beats of its members are still answered with must_stop.
constexpr int retained_silence_limits = 20;

} // namespace

gang_monitor::gang& gang_monitor::find_or_add(gang_key const& key)
{
    auto const [found, is_new] = gangs_.try_emplace(key);
    if (is_new)
        found->second.first_seen_at = clock_.now();
    return found->second;
}

peers::gang_beat_answer gang_monitor::handle_beat(peers::gang_beat const& beat)
{
    std::lock_guard const lock(mutex_);
    gang_key const key{beat.job_id, beat.attempt};
    auto& gang = find_or_add(key);
    gang.last_beat_at[beat.member] = clock_.now();
    if (beat.state == peers::member_state::finished)
        gang.finished_members.insert(beat.member);
    if (beat.state == peers::member_state::failed ||
        beat.state == peers::member_state::stopped)
        stop_gang(key, gang, fmt::format("member {} ended early", beat.member));
    return {gang.must_stop};
}

void gang_monitor::tick()
{
    std::lock_guard const lock(mutex_);
    for (auto const& record : supervisor_.members()) {
        if (record.command.member == 0 && record.command.members.size() > 1)
            update_from_lead(record);
    }
    for (auto current = gangs_.begin(); current != gangs_.end();) {
        stop_if_silent(current->first, current->second);
        current = can_be_removed(current->second) ? gangs_.erase(current)
                                                  : std::next(current);
    }
}

void gang_monitor::update_from_lead(member_record const& lead)
{
    if (lead.phase == member_phase::reserved)
        return;
    gang_key const key{lead.command.job_id, lead.command.attempt};
    // The gang of an ended lead may already have been removed.
    if (lead.phase == member_phase::ended && !gangs_.contains(key))
        return;
    auto& gang = find_or_add(key);
    if (!gang.lead_has_started) {
        gang.lead_has_started = true;
        gang.member_count = static_cast<int>(lead.command.members.size());
        // Members without a beat so far get one silence limit to start.
        for (int member = 1; member < gang.member_count; ++member)
            gang.last_beat_at.try_emplace(member, clock_.now());
    }
    auto const is_stopping = lead.phase == member_phase::stopping;
    auto const has_ended = lead.phase == member_phase::ended;
    if (has_ended && lead.end_state == peers::member_state::finished)
        gang.lead_has_finished = true;
    else if (is_stopping || has_ended)
        stop_gang(key, gang, "the gang lead's task ended early");
}

void gang_monitor::stop_if_silent(gang_key const& key, gang& gang)
{
    if (gang.must_stop)
        return;
    auto const now = clock_.now();
    if (!gang.lead_has_started) {
        if (now - gang.first_seen_at >= silence_limit_)
            stop_gang(
                key, gang,
                "the gang lead's task did not start within the silence limit");
        return;
    }
    for (auto const& [member, beat_at] : gang.last_beat_at) {
        if (gang.finished_members.contains(member) ||
            now - beat_at < silence_limit_)
            continue;
        stop_gang(key, gang,
                  fmt::format("member {} sent no beat within the silence limit",
                              member));
        return;
    }
}

void gang_monitor::stop_gang(gang_key const& key, gang& gang,
                             std::string const& reason)
{
    if (gang.must_stop)
        return;
    gang.must_stop = true;
    gang.stopped_at = clock_.now();
    supervisor_.stop_attempt(key.first, key.second, reason);
}

bool gang_monitor::can_be_removed(gang const& gang) const
{
    auto const now = clock_.now();
    auto const retention = retained_silence_limits * silence_limit_;
    if (gang.must_stop)
        return now - gang.stopped_at >= retention;
    return gang.lead_has_finished &&
           static_cast<int>(gang.finished_members.size()) + 1 >=
               gang.member_count;
}

} // namespace sequoiaroute::workers
