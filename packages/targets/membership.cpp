#include "targets/membership.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <future>
#include <set>

#include <fmt/format.h>

namespace sequoiaroute::targets {

namespace {

/// Age of the last contact with the table before the first one. An entry that
/// starts during an outage must not prolong the time that agents rely on it.
constexpr core::duration never_in_contact = std::chrono::hours(24);

/// Age of a scan of the entries' rows up to which it shows all entries.
constexpr core::duration scan_limit = std::chrono::seconds(15);

/// Age of the oldest answer of an entry up to which all are in contact.
constexpr core::duration contact_limit = std::chrono::seconds(5);

/// Entries are forgotten later than their rows are deleted, so that a row that
/// nobody renews doesn't bring a forgotten entry back.
constexpr core::duration row_removal_time = std::chrono::minutes(1);

core::duration lost_limit(membership_options const& options)
{
    return options.lost_without_contact + options.lost_margin;
}

} // namespace

membership::membership(platform::table& table, peers::link_pool& links,
                       core::clock const& clock, membership_options options)
    : clock_(clock), links_(links), options_(std::move(options)),
      started_at_(clock.now()),
      entries_(options_.self.entry_id, options_.entry_live_limit,
               lost_limit(options_) + row_removal_time),
      registration_(table, clock, options_.self, lost_limit(options_)),
      keepers_(options_.self.entry_id, options_.keeper_count),
      authority_at_(clock.now() - never_in_contact),
      scanned_at_(clock.now() - never_in_contact)
{
}

std::vector<known_target> membership::targets(peers::target_kind kind) const
{
    auto const now = clock_.now();
    std::vector<known_target> found;
    targets_.for_each_shard([&](auto const& shard) {
        for (auto const& [id, record] : shard) {
            auto target = record.view(now, options_.suspect_after);
            if (target.report.kind == kind)
                found.push_back(std::move(target));
        }
    });
    return found;
}

void membership::record_contact(std::string_view target_id)
{
    targets_.with_shard(target_id, [&](auto& shard) {
        if (auto const found = shard.find(std::string(target_id));
            found != shard.end())
            found->second.record_contact(clock_.now());
    });
}

void membership::record_failure(std::string_view target_id)
{
    targets_.with_shard(target_id, [&](auto& shard) {
        if (auto const found = shard.find(std::string(target_id));
            found != shard.end())
            found->second.record_failure(clock_.now());
    });
}

std::optional<target_record> membership::find(std::string_view target_id) const
{
    return targets_.with_shard(
        target_id, [&](auto& shard) -> std::optional<target_record> {
            auto const found = shard.find(std::string(target_id));
            if (found == shard.end())
                return std::nullopt;
            return found->second;
        });
}

bool membership::is_lost(std::string_view worker_id,
                         std::string_view incarnation) const
{
    auto const record = find(worker_id);
    if (record && record->is_superseded(incarnation))
        return true;
    auto const heard_at =
        record ? record->last_heard(incarnation) : std::nullopt;
    // What an earlier incarnation of an entry heard is lost with it, so the
    // worker may have been heard until the youngest entry started.
    return is_lost_since(std::max({heard_at.value_or(started_at_), started_at_,
                                   entries_.newest_start()}));
}

bool membership::is_lost_since(core::time_point heard_at) const
{
    auto const now = clock_.now();
    // Without a recent scan there may be entries that this one doesn't know.
    if (now - scanned_at_.load() > scan_limit)
        return false;
    auto const attested_until = entries_.attested_until(now);
    if (attested_until && now - *attested_until <= contact_limit &&
        *attested_until - heard_at >= options_.lost_after)
        return true;
    auto const silent = entries_.last_sign_of_silent(now - options_.lost_after);
    return now - std::max(heard_at, silent) >= lost_limit(options_);
}

std::vector<peers::entry_record> membership::peer_entries() const
{
    return entries_.live(clock_.now());
}

peers::answer_envelope membership::answer(core::json body) const
{
    return {0, {}, options_.self.incarnation, std::move(body)};
}

peers::answer_envelope membership::refuse(core::error const& failure) const
{
    return {static_cast<std::uint16_t>(failure.code), failure.message,
            options_.self.incarnation, nullptr};
}

peers::answer_envelope membership::handle_report(peers::envelope const& request)
{
    auto const report = core::message_from<peers::target_report>(request.body);
    if (!core::is_ok(report))
        return refuse(core::failure(report));
    auto const& target = core::value(report);
    bool const is_current =
        targets_.with_shard(target.target_id, [&](auto& shard) {
            return shard[target.target_id].take_report(target, clock_.now());
        });
    if (!is_current) {
        return refuse({core::result_code::conflict,
                       "a newer incarnation of this agent has reported"});
    }
    rules_->record_generation(target.rules_generation, target.address);
    return answer(make_report_answer(target));
}

peers::report_answer
membership::make_report_answer(peers::target_report const& report)
{
    peers::report_answer answer;
    answer.entries = peer_entries();
    answer.entries.push_back(options_.self);
    answer.rules_generation = rules_->rules_generation();
    answer.authority_age_ms = authority_age().count();
    answer.term = term_;
    if (keepers_.take_turn(report.target_id, report.incarnation,
                           answer.rules_generation, clock_.now()))
        answer.rules = rules_->rules_document();
    return answer;
}

peers::answer_envelope membership::handle_sync(peers::envelope const& request)
{
    auto const message = core::message_from<peers::sync_message>(request.body);
    if (!core::is_ok(message))
        return refuse(core::failure(message));
    auto const& sync = core::value(message);
    auto const now = clock_.now();
    entries_.note_message(sync.sender, now);
    take(sync, now);
    rules_->record_generation(sync.rules_generation, sync.sender.peer_address);
    auto own = make_sync(sync.sender.peer_address, false);
    if (sync.wants_all)
        own.targets = deltas(std::nullopt);
    return answer(own);
}

std::vector<peers::target_delta>
membership::deltas(std::optional<core::time_point> heard_here_since) const
{
    auto const now = clock_.now();
    std::vector<peers::target_delta> found;
    targets_.for_each_shard([&](auto const& shard) {
        for (auto const& [id, record] : shard) {
            if (!heard_here_since ||
                record.is_heard_here_since(*heard_here_since))
                found.push_back(record.delta(now));
        }
    });
    return found;
}

peers::sync_message membership::make_sync(std::string_view address,
                                          bool wants_all)
{
    return {options_.self,
            wants_all,
            deltas(entries_.cursor(address)),
            rules_->rules_generation(),
            rules_->table_age().count(),
            term_};
}

void membership::take(peers::sync_message const& message, core::time_point now)
{
    record_term(message.term);
    for (auto const& delta : message.targets) {
        targets_.with_shard(delta.report.target_id, [&](auto& shard) {
            shard[delta.report.target_id].take_delta(
                delta, now - core::duration(delta.age_ms));
        });
    }
}

void membership::sync()
{
    entries_.forget_silent(clock_.now());
    forget_old_targets();
    choose_keepers();
    std::vector<std::future<void>> calls;
    for (auto const& address : entry_addresses()) {
        calls.push_back(std::async(std::launch::async,
                                   [this, address] { sync_with(address); }));
    }
    for (auto& call : calls)
        call.get();
}

void membership::sync_with(std::string const& address)
{
    auto const asked_at = clock_.now();
    auto const message = make_sync(address, !entries_.has_answered(address));
    auto const outcome = links_.link_to(address)->call(
        peers::message_kind::sync, message, options_.call_limit);
    if (!core::is_ok(outcome) || core::value(outcome).code != 0)
        return;
    auto const sync =
        core::message_from<peers::sync_message>(core::value(outcome).body);
    if (core::is_ok(sync))
        take_answer(address, core::value(sync), asked_at);
}

void membership::take_answer(std::string const& address,
                             peers::sync_message const& message,
                             core::time_point asked_at)
{
    // Ages are counted from when the question was sent. That makes targets
    // look older by the time under way, never younger.
    take(message, asked_at);
    entries_.note_answer(message.sender, asked_at);
    entries_.advance_cursor(message.sender.peer_address, asked_at);
    // Only an answer counts, because the decider has then heard of this entry
    // after the question was sent; a message may have waited here for long.
    note_holder_contact(message.sender.entry_id, asked_at);
    rules_->record_peer_answer(message.rules_generation, address, asked_at);
}

void membership::note_holder_contact(std::string_view entry_id,
                                     core::time_point contact_at)
{
    std::lock_guard const lock(holder_mutex_);
    if (!holder_.empty() && holder_ == entry_id)
        note_authority(contact_at);
}

void membership::note_authority(core::time_point contact_at)
{
    auto known = authority_at_.load();
    while (known < contact_at &&
           !authority_at_.compare_exchange_weak(known, contact_at)) {
    }
}

core::duration membership::authority_age() const
{
    return clock_.now() - authority_at_.load();
}

void membership::record_term(std::uint64_t term)
{
    auto known = term_.load();
    while (known < term && !term_.compare_exchange_weak(known, term)) {
    }
}

void membership::renew()
{
    auto const asked_at = clock_.now();
    auto const status = registration_.renew();
    // Only a renewal of the own row counts as contact, because the decider
    // sees it; a read would let agents rely on contact that it cannot see.
    if (core::is_ok(status))
        note_authority(asked_at);
    if (core::code_of(status) == core::result_code::conflict &&
        !is_replaced_.exchange(true)) {
        core::log(core::log_level::error, core::failure(status).message,
                  {{"entry", options_.self.entry_id}});
    }
    auto const rows = registration_.scan();
    if (core::is_ok(rows)) {
        entries_.note_rows(core::value(rows), clock_.now());
        scanned_at_ = asked_at;
    }
    auto const decider = registration_.read_decider();
    if (!core::is_ok(decider))
        return;
    record_term(core::value(decider).term);
    std::lock_guard const lock(holder_mutex_);
    holder_ = core::value(decider).holder;
}

void membership::leave()
{
    sync();
    registration_.remove();
}

std::vector<std::string> membership::entry_addresses() const
{
    std::set<std::string> addresses(options_.static_peers.begin(),
                                    options_.static_peers.end());
    for (auto const& address : entries_.addresses())
        addresses.insert(address);
    addresses.erase(options_.self.peer_address);
    return {addresses.begin(), addresses.end()};
}

std::vector<std::string> membership::agent_addresses() const
{
    auto const keepers = keepers_.keepers();
    std::vector<std::string> likely;
    std::vector<std::string> others;
    targets_.for_each_shard([&](auto const& shard) {
        for (auto const& [id, record] : shard) {
            auto const target =
                record.view(clock_.now(), options_.suspect_after);
            bool const is_keeper =
                std::find(keepers.begin(), keepers.end(), id) != keepers.end();
            (is_keeper ? likely : others).push_back(target.report.address);
        }
    });
    likely.insert(likely.end(), others.begin(), others.end());
    return likely;
}

void membership::forget_old_targets()
{
    auto const now = clock_.now();
    targets_.for_each_shard([&](auto& shard) {
        absl::erase_if(shard, [&](auto const& pair) {
            return pair.second.view(now, options_.suspect_after).age >
                   options_.forget_after;
        });
    });
}

void membership::choose_keepers()
{
    std::vector<std::string> ids;
    auto const now = clock_.now();
    targets_.for_each_shard([&](auto const& shard) {
        for (auto const& [id, record] : shard) {
            auto const target = record.view(now, options_.suspect_after);
            if (!target.is_suspect && !target.report.is_leaving)
                ids.push_back(id);
        }
    });
    keepers_.choose(ids);
}

} // namespace sequoiaroute::targets
