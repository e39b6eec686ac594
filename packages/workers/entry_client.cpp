#include "workers/entry_client.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace sequoiaroute::workers {

namespace {

/// Bounds the time that one report takes when many entries are down. The seed
/// addresses are tried in addition.
constexpr std::size_t max_tried_entries = 3;

std::uint64_t rendezvous_weight(std::string const& agent_id,
                                std::string const& entry_id)
{
    auto const text = agent_id + "/" + entry_id;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

entry_client::entry_client(entry_client_options options,
                           core::clock const& clock, peers::link_pool& links,
                           report_source make_base_report)
    : options_(std::move(options)), clock_(clock), links_(links),
      make_base_report_(std::move(make_base_report)),
      next_report_at_(clock.now()), last_answered_at_(clock.now())
{
}

std::vector<std::string> entry_client::ranked_addresses() const
{
    std::lock_guard const lock(mutex_);
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (auto const& entry : entries_)
        ranked.emplace_back(
            rendezvous_weight(options_.agent_id, entry.entry_id),
            entry.peer_address);
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::string> addresses;
    addresses.reserve(ranked.size());
    for (auto& [weight, address] : ranked)
        addresses.push_back(std::move(address));
    if (addresses.size() > max_tried_entries)
        addresses.resize(max_tried_entries);
    // The seed addresses are needed if all entries of the list were replaced.
    for (auto const& seed : options_.seed_addresses) {
        if (std::find(addresses.begin(), addresses.end(), seed) ==
            addresses.end())
            addresses.push_back(seed);
    }
    return addresses;
}

void entry_client::tick()
{
    {
        std::lock_guard const lock(mutex_);
        if (clock_.now() < next_report_at_)
            return;
    }
    send_report();
}

peers::target_report entry_client::make_report()
{
    auto report = make_base_report_();
    std::lock_guard const lock(mutex_);
    report.sequence = ++sequence_;
    report.rules_generation = rules_generation_;
    next_report_at_ =
        clock_.now() + (report.is_leaving ? options_.leaving_report_period
                                          : options_.report_period);
    return report;
}

bool entry_client::send_report()
{
    auto const report = make_report();
    auto const addresses = ranked_addresses();
    if (std::any_of(addresses.begin(), addresses.end(), [&](auto const& next) {
            return send_report_to(next, report);
        }))
        return true;
    core::log(core::log_level::warning, "no entry answered the report");
    std::lock_guard const lock(mutex_);
    next_report_at_ = clock_.now() + options_.leaving_report_period;
    return false;
}

bool entry_client::send_report_to(std::string const& address,
                                  peers::target_report const& report)
{
    auto const sent_at = clock_.now();
    auto const outcome = links_.link_to(address)->call(
        peers::message_kind::report, core::json(report), options_.call_limit);
    if (!is_ok(outcome) || value(outcome).code != 0)
        return false;
    auto const answer =
        core::message_from<peers::report_answer>(value(outcome).body);
    if (!is_ok(answer))
        return false;
    apply_answer(value(answer), sent_at);
    return true;
}

void entry_client::apply_answer(peers::report_answer const& answer,
                                core::time_point sent_at)
{
    std::lock_guard const lock(mutex_);
    last_answered_at_ = sent_at;
    // An entry that started during an outage has had no contact itself. The
    // contact that another entry reported remains valid.
    auto const contact_at = sent_at - core::duration(answer.authority_age_ms);
    authority_contact_at_ =
        std::max(authority_contact_at_.value_or(contact_at), contact_at);
    if (!answer.entries.empty())
        entries_ = answer.entries;
    rules_generation_ = std::max(rules_generation_, answer.rules_generation);
    if (!answer.rules.empty() && answer.rules_generation >= kept_generation_) {
        kept_generation_ = answer.rules_generation;
        rules_ = answer.rules;
    }
}

core::status
entry_client::send_member_report(peers::member_report const& report)
{
    core::error last_error{core::result_code::unreachable, "no entry is known"};
    for (auto const& address : ranked_addresses()) {
        auto const outcome = links_.link_to(address)->call(
            peers::message_kind::task_report, core::json(report),
            options_.call_limit);
        if (!is_ok(outcome)) {
            last_error = failure(outcome);
            continue;
        }
        auto const code = static_cast<core::result_code>(value(outcome).code);
        if (code == core::result_code::ok)
            return core::success();
        last_error = {code, value(outcome).message};
        // This answer comes from the decider; another entry would only repeat
        // it.
        if (code == core::result_code::still_running)
            break;
    }
    return last_error;
}

core::duration entry_client::silence() const
{
    std::lock_guard const lock(mutex_);
    return clock_.now() - last_answered_at_;
}

core::duration entry_client::authority_age() const
{
    std::lock_guard const lock(mutex_);
    return clock_.now() - authority_contact_at_.value_or(last_answered_at_);
}

core::json entry_client::rules() const
{
    std::lock_guard const lock(mutex_);
    return {{"rules_generation", rules_generation_},
            {"kept_generation", kept_generation_},
            {"rules", rules_}};
}

core::json entry_client::dump() const
{
    std::lock_guard const lock(mutex_);
    return {{"entries", entries_},
            {"sequence", sequence_},
            {"rules_generation", rules_generation_},
            {"kept_rules_generation", kept_generation_},
            {"silence_ms", (clock_.now() - last_answered_at_).count()},
            {"authority_age_ms",
             (clock_.now() - authority_contact_at_.value_or(last_answered_at_))
                 .count()}};
}

} // namespace sequoiaroute::workers
