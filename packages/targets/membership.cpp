#include "targets/membership.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <future>
#include <set>

#include <fmt/format.h>

namespace sequoiaroute::targets {

namespace {

/// Assumed age of the last contact with the table before the first contact. An
/// entry that starts during an outage of the table must not extend the time for
/// which agents rely on it.
constexpr core::duration initial_contact_age = std::chrono::hours(24);

/// Age up to which a scan of the entries' rows is taken to show all entries.
constexpr core::duration max_scan_age = std::chrono::seconds(15);

/// Age of the least recent sync up to which all entries count as in contact.
constexpr core::duration max_sync_age = std::chrono::seconds(5);

/// Entries expire this much later than their rows are deleted, so that a row
/// that is no longer renewed does not add an expired entry again.
constexpr core::duration row_removal_margin = std::chrono::minutes(1);

/// @return the time without contact after which a worker is lost even if
///         entries are out of contact
core::duration unconditional_lost_limit(membership_options const& options)
{
    return options.lost_without_contact + options.lost_margin;
}

} // namespace

membership::membership(platform::table& table, peers::link_pool& links,
                       core::clock const& clock, membership_options options)
    : clock_(clock), links_(links), options_(std::move(options)),
      started_at_(clock.now()),
      entries_(options_.self.entry_id, options_.entry_live_limit,
               unconditional_lost_limit(options_) + row_removal_margin),
      registration_(table, clock, options_.self,
                    unconditional_lost_limit(options_)),
      keepers_(options_.self.entry_id, options_.keeper_count),
      authority_contact_at_(clock.now() - initial_contact_age),
      last_scan_at_(clock.now() - initial_contact_age)
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

std::optional<target_record>
membership::find_target(std::string_view target_id) const
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
    auto const record = find_target(worker_id);
    if (record && record->is_superseded(incarnation))
        return true;
    auto const contact_at =
        record ? record->last_contact(incarnation) : std::nullopt;
    // The contacts of an entry are lost when it restarts, so the worker may
    // have reported to its earlier incarnation until the newest entry started.
    return is_past_lost_limit(
        std::max({contact_at.value_or(started_at_), started_at_,
                  entries_.latest_entry_start()}));
}

bool membership::is_past_lost_limit(core::time_point contact_at) const
{
    auto const now = clock_.now();
    // Without a recent scan there may be entries unknown to this one.
    if (now - last_scan_at_.load() > max_scan_age)
        return false;
    auto const sync_watermark = entries_.sync_watermark(now);
    if (sync_watermark && now - *sync_watermark <= max_sync_age &&
        *sync_watermark - contact_at >= options_.lost_after)
        return true;
    auto const silent_activity =
        entries_.last_activity_of_silent(now - options_.lost_after);
    return now - std::max(contact_at, silent_activity) >=
           unconditional_lost_limit(options_);
}

std::vector<peers::entry_record> membership::peer_entries() const
{
    return entries_.live_entries(clock_.now());
}

peers::answer_envelope membership::make_answer(core::json body) const
{
    return {0, {}, options_.self.incarnation, std::move(body)};
}

peers::answer_envelope
membership::make_refusal(core::error const& failure) const
{
    return {static_cast<std::uint16_t>(failure.code), failure.message,
            options_.self.incarnation, nullptr};
}

peers::answer_envelope membership::handle_report(peers::envelope const& request)
{
    auto const report = core::message_from<peers::target_report>(request.body);
    if (!core::is_ok(report))
        return make_refusal(core::failure(report));
    auto const& target = core::value(report);
    bool const is_current =
        targets_.with_shard(target.target_id, [&](auto& shard) {
            return shard[target.target_id].apply_report(target, clock_.now());
        });
    if (!is_current) {
        return make_refusal({core::result_code::conflict,
                             "a newer incarnation of this agent has reported"});
    }
    rules_->record_generation(target.rules_generation, target.address);
    return make_answer(make_report_answer(target));
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
    if (keepers_.mark_sent_if_due(report.target_id, report.incarnation,
                                  answer.rules_generation, clock_.now()))
        answer.rules = rules_->rules_document();
    return answer;
}

peers::answer_envelope membership::handle_sync(peers::envelope const& request)
{
    auto const message = core::message_from<peers::sync_message>(request.body);
    if (!core::is_ok(message))
        return make_refusal(core::failure(message));
    auto const& sync = core::value(message);
    auto const now = clock_.now();
    entries_.record_message(sync.sender, now);
    apply_sync(sync, now);
    rules_->record_generation(sync.rules_generation, sync.sender.peer_address);
    auto own = make_sync(sync.sender.peer_address, false);
    if (sync.wants_all)
        own.targets = target_updates(std::nullopt);
    return make_answer(own);
}

std::vector<peers::target_update> membership::target_updates(
    std::optional<core::time_point> direct_contact_since) const
{
    auto const now = clock_.now();
    std::vector<peers::target_update> found;
    targets_.for_each_shard([&](auto const& shard) {
        for (auto const& [id, record] : shard) {
            if (!direct_contact_since ||
                record.had_direct_contact_since(*direct_contact_since))
                found.push_back(record.make_update(now));
        }
    });
    return found;
}

peers::sync_message membership::make_sync(std::string_view address,
                                          bool wants_all)
{
    return {options_.self,
            wants_all,
            target_updates(entries_.sync_cursor(address)),
            rules_->rules_generation(),
            rules_->table_age().count(),
            term_};
}

void membership::apply_sync(peers::sync_message const& message,
                            core::time_point now)
{
    record_term(message.term);
    for (auto const& update : message.targets) {
        targets_.with_shard(update.report.target_id, [&](auto& shard) {
            shard[update.report.target_id].apply_update(
                update, now - core::duration(update.age_ms));
        });
    }
}

void membership::sync()
{
    entries_.remove_expired(clock_.now());
    remove_expired_targets();
    select_keepers();
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
    auto const requested_at = clock_.now();
    auto const message = make_sync(address, !entries_.has_synced(address));
    auto const outcome = links_.link_to(address)->call(
        peers::message_kind::sync, message, options_.call_limit);
    if (!core::is_ok(outcome) || core::value(outcome).code != 0)
        return;
    auto const sync =
        core::message_from<peers::sync_message>(core::value(outcome).body);
    if (core::is_ok(sync))
        apply_sync_answer(address, core::value(sync), requested_at);
}

void membership::apply_sync_answer(std::string const& address,
                                   peers::sync_message const& message,
                                   core::time_point requested_at)
{
    // Ages count from when the request was sent, so targets seem older by up to
    // the round-trip time, but never younger.
    apply_sync(message, requested_at);
    entries_.record_answer(message.sender, requested_at);
    entries_.advance_sync_cursor(message.sender.peer_address, requested_at);
    // Only an answer counts as contact with the decider: it proves that the
    // decider was in contact with this entry after the request was sent. A
    // message from the decider may have been queued here for a long time.
    record_holder_contact(message.sender.entry_id, requested_at);
    rules_->record_peer_answer(message.rules_generation, address, requested_at);
}

void membership::record_holder_contact(std::string_view entry_id,
                                       core::time_point contact_at)
{
    std::lock_guard const lock(lease_holder_mutex_);
    if (!lease_holder_.empty() && lease_holder_ == entry_id)
        record_authority_contact(contact_at);
}

void membership::record_authority_contact(core::time_point contact_at)
{
    auto known = authority_contact_at_.load();
    while (known < contact_at &&
           !authority_contact_at_.compare_exchange_weak(known, contact_at)) {
    }
}

core::duration membership::authority_age() const
{
    return clock_.now() - authority_contact_at_.load();
}

void membership::record_term(std::uint64_t term)
{
    auto known = term_.load();
    while (known < term && !term_.compare_exchange_weak(known, term)) {
    }
}

void membership::renew()
{
    auto const requested_at = clock_.now();
    auto const status = registration_.renew();
    // Only a renewal of the row counts as contact, because the decider observes
    // it. Counting a read would let agents rely on a contact that the decider
    // cannot observe.
    if (core::is_ok(status))
        record_authority_contact(requested_at);
    if (core::code_of(status) == core::result_code::conflict &&
        !is_replaced_.exchange(true)) {
        core::log(core::log_level::error, core::failure(status).message,
                  {{"entry", options_.self.entry_id}});
    }
    auto const rows = registration_.scan();
    if (core::is_ok(rows)) {
        entries_.record_scan(core::value(rows), clock_.now());
        last_scan_at_ = requested_at;
    }
    auto const decider = registration_.read_decider();
    if (!core::is_ok(decider))
        return;
    record_term(core::value(decider).term);
    std::lock_guard const lock(lease_holder_mutex_);
    lease_holder_ = core::value(decider).holder;
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
    std::vector<std::string> keeper_addresses;
    std::vector<std::string> other_addresses;
    targets_.for_each_shard([&](auto const& shard) {
        for (auto const& [id, record] : shard) {
            auto const target =
                record.view(clock_.now(), options_.suspect_after);
            bool const is_keeper =
                std::find(keepers.begin(), keepers.end(), id) != keepers.end();
            (is_keeper ? keeper_addresses : other_addresses)
                .push_back(target.report.address);
        }
    });
    keeper_addresses.insert(keeper_addresses.end(), other_addresses.begin(),
                            other_addresses.end());
    return keeper_addresses;
}

void membership::remove_expired_targets()
{
    auto const now = clock_.now();
    targets_.for_each_shard([&](auto& shard) {
        absl::erase_if(shard, [&](auto const& pair) {
            return pair.second.view(now, options_.suspect_after).age >
                   options_.target_expiry;
        });
    });
}

void membership::select_keepers()
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
    keepers_.select(ids);
}

} // namespace sequoiaroute::targets
