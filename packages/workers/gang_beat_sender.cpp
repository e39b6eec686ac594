#include "workers/gang_beat_sender.hpp"

#include <algorithm>
#include <future>
#include <utility>

namespace sequoiaroute::workers {

namespace {

bool sends_beats(member_record const& record)
{
    return record.command.member != 0 && !record.command.members.empty() &&
           record.phase != member_phase::reserved;
}

peers::member_state reported_state(member_record const& record)
{
    if (record.phase == member_phase::ended)
        return record.end_state;
    // A stopping member no longer takes part in the gang.
    if (record.phase == member_phase::stopping)
        return record.end_state;
    return peers::member_state::running;
}

} // namespace

std::vector<member_record> gang_beat_sender::select_members()
{
    auto records = supervisor_.members();
    std::erase_if(records,
                  [](auto const& record) { return !sends_beats(record); });
    std::lock_guard const lock(mutex_);
    std::erase_if(lead_contacts_, [&](auto const& item) {
        return std::none_of(
            records.begin(), records.end(),
            [&](auto const& record) { return record.key() == item.first; });
    });
    for (auto const& record : records)
        lead_contacts_.try_emplace(record.key(),
                                   lead_contact{clock_.now(), false});
    std::erase_if(records, [&](auto const& record) {
        return lead_contacts_.at(record.key()).is_end_acknowledged;
    });
    return records;
}

void gang_beat_sender::send_beats()
{
    auto const records = select_members();
    std::vector<std::future<void>> calls;
    calls.reserve(records.size());
    for (auto const& record : records) {
        calls.push_back(std::async(std::launch::async,
                                   [this, &record] { send_beat(record); }));
    }
    for (auto& call : calls)
        call.wait();
}

void gang_beat_sender::send_beat(member_record const& record)
{
    auto const& command = record.command;
    auto const sent_at = clock_.now();
    peers::gang_beat const beat{command.job_id, command.attempt, command.member,
                                reported_state(record)};
    auto const link = links_.link_to(command.members.front().agent_address);
    auto const outcome = link->call(peers::message_kind::gang_beat,
                                    core::json(beat), options_.call_limit);
    if (!is_ok(outcome) || value(outcome).code != 0)
        return;
    auto const answer =
        core::message_from<peers::gang_beat_answer>(value(outcome).body);
    if (is_ok(answer))
        handle_answer(record, sent_at, value(answer).must_stop);
}

void gang_beat_sender::handle_answer(member_record const& record,
                                     core::time_point sent_at, bool must_stop)
{
    {
        std::lock_guard const lock(mutex_);
        auto const found = lead_contacts_.find(record.key());
        if (found == lead_contacts_.end())
            return;
        // The send time is the earliest time at which the lead can have
        // received the beat.
        found->second.answered_at = sent_at;
        found->second.is_end_acknowledged = record.phase == member_phase::ended;
    }
    if (must_stop)
        supervisor_.stop_attempt(record.command.job_id, record.command.attempt,
                                 "the gang lead asked to stop");
}

void gang_beat_sender::stop_members_of_silent_leads()
{
    std::vector<member_key> members_to_stop;
    {
        std::lock_guard const lock(mutex_);
        auto const now = clock_.now();
        for (auto const& [key, contact] : lead_contacts_) {
            if (!contact.is_end_acknowledged &&
                now - contact.answered_at >= options_.silence_limit)
                members_to_stop.push_back(key);
        }
    }
    for (auto const& key : members_to_stop)
        supervisor_.stop_attempt(
            key.job_id, key.attempt,
            "the gang lead did not answer within the silence limit");
}

} // namespace sequoiaroute::workers
