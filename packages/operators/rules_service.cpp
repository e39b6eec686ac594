#include "operators/rules_service.hpp"

#include "core/identifier.hpp"
#include "core/log.hpp"
#include "operators/rule_difference.hpp"
#include "operators/rule_file.hpp"

#include <algorithm>
#include <array>
#include <future>
#include <thread>

#include <fmt/format.h>

namespace sequoiaroute::operators {

namespace {

constexpr char rules_row_key[] = "rules/current";

/// Rules are normally confirmed every second. An entry whose last confirmation
/// is older than the confirmation limit divided by this has been out of
/// contact.
constexpr int recent_confirmation_divisor = 4;

/// Agents are called one after another, and each call may take the whole call
/// limit.
constexpr std::size_t max_agents_per_fetch = 4;

/// Reported by table_age() before the first successful read. An entry that
/// starts during an outage must not report a recent contact with the table to
/// agents.
constexpr core::duration initial_table_age = std::chrono::hours(24);

core::error not_stored_error(core::error const& failure)
{
    return {core::result_code::not_run_store_unavailable,
            fmt::format("the table is unavailable, the rules were not "
                        "changed: {}",
                        failure.message)};
}

} // namespace

rules_service::rules_service(platform::table& table, peers::link_pool& links,
                             core::clock const& clock, rules_peers peers,
                             guarantee_check const* check,
                             rules_service_options options)
    : clock_(clock), links_(links), peers_(std::move(peers)),
      guarantee_check_(check), options_(std::move(options)),
      writer_(table, {options_.incarnation, options_.write_limit,
                      options_.retry_delay}),
      state_(clock, options_.confirmation_limit),
      table_read_at_ms_(
          (clock.now() - initial_table_age).time_since_epoch().count())
{
}

std::shared_ptr<policy::rule_set const> rules_service::rules() const
{
    return state_.rules();
}

core::status rules_service::admission_state() const
{
    return state_.admission_status();
}

std::uint64_t rules_service::rules_generation() const
{
    return state_.rules()->generation;
}

std::string rules_service::rules_document() const
{
    return core::json(*state_.rules()).dump();
}

core::duration rules_service::table_age() const
{
    return clock_.now().time_since_epoch() -
           core::duration(table_read_at_ms_.load());
}

stored_rules rules_service::current() const
{
    auto const rules = state_.rules();
    return {rules->generation, core::digest(rules->text), state_.author(),
            rules->text};
}

void rules_service::record_generation(std::uint64_t generation,
                                      std::string_view address)
{
    state_.observe_generation(generation);
    if (!state_.is_behind() || is_fetching_.exchange(true))
        return;
    fetch_from(std::string(address));
    is_fetching_ = false;
}

void rules_service::record_peer_answer(std::uint64_t generation,
                                       std::string_view address,
                                       core::time_point requested_at)
{
    record_generation(generation, address);
    state_.confirm(generation, requested_at);
}

core::result<rules_service::row_content> rules_service::read_row()
{
    SEQUOIA_TRY_INTO(auto const row, writer_.read(rules_row_key));
    if (row.version == 0)
        return row_content{};
    SEQUOIA_TRY_INTO(auto rules, core::message_from<stored_rules>(row.value));
    return row_content{row.version, std::move(rules)};
}

void rules_service::refresh()
{
    // A read may return an older version of the row. An entry that has just
    // started or was frozen may have missed newer rules, so it requests them
    // from the other entries before it relies on the row.
    if (!state_.is_confirmed_within(options_.confirmation_limit /
                                    recent_confirmation_divisor))
        fetch_from_entries();
    auto const requested_at = clock_.now();
    auto const outcome = read_row();
    if (core::is_ok(outcome)) {
        table_read_at_ms_ = requested_at.time_since_epoch().count();
        install_from_table(core::value(outcome).rules);
        // Ignored if the row is older than the rules in force: such a stale
        // read does not show that they are still the newest.
        state_.confirm(core::value(outcome).rules.generation, requested_at);
    } else {
        core::log(core::log_level::warning,
                  "cannot read the rules from the table",
                  {{"reason", core::failure(outcome).message}});
    }
    if (state_.is_behind() || rules_generation() == 0)
        fetch_missing();
}

void rules_service::install_from_table(stored_rules const& stored)
{
    auto const generation = stored.generation;
    state_.observe_generation(generation);
    if (generation > rules_generation()) {
        auto rules = parse_stored_rules(stored);
        if (!core::is_ok(rules)) {
            core::log(core::log_level::error,
                      "the rules in the table are corrupt",
                      {{"reason", core::failure(rules).message}});
            return;
        }
        if (state_.install(core::value(std::move(rules)), stored.author))
            push_to_all();
    }
}

void rules_service::fetch_from_entries()
{
    std::vector<std::future<void>> answers;
    for (auto const& address : peers_.entry_addresses()) {
        answers.push_back(std::async(std::launch::async,
                                     [this, address] { fetch_from(address); }));
    }
    for (auto& answer : answers)
        answer.get();
}

void rules_service::fetch_missing()
{
    fetch_from_entries();
    if (!state_.is_behind() && rules_generation() != 0)
        return;
    auto const agents = peers_.agent_addresses();
    auto const count = std::min(max_agents_per_fetch, agents.size());
    for (std::size_t i = 0; i < count; ++i) {
        auto const index = next_agent_++ % agents.size();
        if (fetch_from(agents[index]) && !state_.is_behind())
            return;
    }
}

bool rules_service::fetch_from(std::string const& address)
{
    auto const answer = links_.link_to(address)->call(
        peers::message_kind::rules, rules_message{rules_generation(), {}, {}},
        options_.call_limit);
    if (!core::is_ok(answer) || core::value(answer).code != 0)
        return false;
    auto const message =
        core::message_from<rules_message>(core::value(answer).body);
    if (!core::is_ok(message))
        return false;
    state_.observe_generation(core::value(message).generation);
    return install(core::value(message));
}

bool rules_service::install(rules_message const& message)
{
    if (message.rules.empty())
        return false;
    auto rules = parse_rules_document(message.rules);
    if (!core::is_ok(rules)) {
        core::log(core::log_level::error, "received rules are corrupt",
                  {{"reason", core::failure(rules).message}});
        return false;
    }
    return state_.install(core::value(std::move(rules)), message.author);
}

rules_message rules_service::make_message(std::uint64_t known_generation) const
{
    auto const rules = state_.rules();
    if (rules->generation <= known_generation)
        return {rules->generation, state_.author(), {}};
    return {rules->generation, state_.author(), core::json(*rules).dump()};
}

peers::answer_envelope rules_service::handle(peers::envelope const& request)
{
    auto const message = core::message_from<rules_message>(request.body);
    if (!core::is_ok(message)) {
        auto const& failure = core::failure(message);
        return {static_cast<std::uint16_t>(failure.code), failure.message,
                options_.incarnation, nullptr};
    }
    auto const known_generation = core::value(message).generation;
    state_.observe_generation(known_generation);
    install(core::value(message));
    return {0, {}, options_.incarnation, make_message(known_generation)};
}

bool rules_service::push_to(std::string const& address,
                            std::uint64_t generation)
{
    auto const answer = links_.link_to(address)->call(
        peers::message_kind::rules, make_message(0), options_.call_limit);
    if (!core::is_ok(answer) || core::value(answer).code != 0)
        return false;
    auto const message =
        core::message_from<rules_message>(core::value(answer).body);
    return core::is_ok(message) &&
           core::value(message).generation >= generation;
}

void rules_service::push_to_all()
{
    apply_outcome outcome{rules_generation(), {}, {}};
    auto pending = peers_.live_entries();
    push_round(pending, outcome);
}

void rules_service::push_round(std::vector<peers::entry_record>& pending,
                               apply_outcome& outcome)
{
    std::vector<std::future<bool>> answers;
    answers.reserve(pending.size());
    for (auto const& entry : pending) {
        answers.push_back(
            std::async(std::launch::async, [this, address = entry.peer_address,
                                            generation = outcome.generation] {
                return push_to(address, generation);
            }));
    }
    std::vector<peers::entry_record> still_pending;
    for (std::size_t i = 0; i < pending.size(); ++i) {
        if (answers[i].get())
            outcome.confirmed.push_back(pending[i].entry_id);
        else
            still_pending.push_back(pending[i]);
    }
    pending = std::move(still_pending);
}

void rules_service::push_until_confirmed(apply_outcome& outcome)
{
    auto const rounds =
        static_cast<int>(options_.confirmation_limit /
                         (options_.call_limit + options_.retry_delay));
    auto pending = peers_.live_entries();
    for (int i = 0; i < rounds && !pending.empty(); ++i) {
        push_round(pending, outcome);
        if (!pending.empty())
            std::this_thread::sleep_for(options_.retry_delay);
    }
    for (auto const& entry : pending)
        outcome.unconfirmed.push_back(entry.entry_id);
}

core::status rules_service::check(std::string_view text) const
{
    SEQUOIA_TRY_INTO(auto const rules, parse_rules("rules", text));
    return guarantee_check_ == nullptr ? core::success()
                                       : guarantee_check_->check(rules);
}

core::error rules_service::conflict_error(std::uint64_t base_generation,
                                          std::string_view text) const
{
    auto const rules = current();
    auto const base_text = state_.text_of(base_generation);
    auto const lines =
        find_changed_lines(base_text ? *base_text : text, rules.text);
    return {
        core::result_code::rules_conflict,
        fmt::format("the rules were changed by {} to generation {} since "
                    "generation {}, from which this text was edited; {}:\n"
                    "{}",
                    rules.author.empty() ? "another operator" : rules.author,
                    rules.generation, base_generation,
                    base_text ? "lines changed since"
                              : "lines that differ from this text",
                    format_changed_lines(lines))};
}

core::status rules_service::write_rules(row_content const& row,
                                        std::uint64_t base_generation,
                                        stored_rules const& next)
{
    // If the row already has this text, author and generation, this is a retry
    // of an apply whose answer was lost.
    bool const is_retry = row.rules.generation == next.generation &&
                          row.rules.digest == next.digest &&
                          row.rules.author == next.author;
    if (is_retry)
        return core::success();
    // The row may have been read just before another entry wrote it and pushed
    // the new rules here.
    if (base_generation < rules_generation())
        return conflict_error(base_generation, next.text);
    if (row.rules.generation < rules_generation()) {
        return core::error{
            core::result_code::not_run_store_unavailable,
            "the table answered with older rules than those in force; "
            "the rules were not changed"};
    }
    if (row.rules.generation != base_generation)
        return conflict_error(base_generation, next.text);
    std::array const conditions{
        platform::row_condition{rules_row_key, row.version}};
    std::array const writes{platform::row_write{rules_row_key, next}};
    auto status = writer_.write(conditions, writes);
    if (core::is_ok(status))
        return status;
    if (core::code_of(status) == core::result_code::conflict) {
        refresh();
        return conflict_error(base_generation, next.text);
    }
    if (core::code_of(status) == core::result_code::write_unknown) {
        return core::error{core::result_code::write_unknown,
                           "it is unknown whether the table stored the rules; "
                           "they may come into force; check the rules in force "
                           "before you retry"};
    }
    return not_stored_error(core::failure(status));
}

core::result<apply_outcome> rules_service::apply(std::string_view author,
                                                 std::uint64_t base_generation,
                                                 std::string_view text)
{
    SEQUOIA_TRY(check(text));
    auto const requested_at = clock_.now();
    auto const row = read_row();
    if (!core::is_ok(row))
        return not_stored_error(core::failure(row));
    install_from_table(core::value(row).rules);
    stored_rules const next{base_generation + 1, core::digest(text),
                            std::string(author), std::string(text)};
    SEQUOIA_TRY(write_rules(core::value(row), base_generation, next));
    SEQUOIA_TRY_INTO(auto rules, parse_stored_rules(next));
    state_.install(std::move(rules), next.author);
    state_.confirm(next.generation, requested_at);
    apply_outcome outcome{next.generation, {options_.entry_id}, {}};
    push_until_confirmed(outcome);
    return outcome;
}

} // namespace sequoiaroute::operators
