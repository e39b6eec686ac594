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

constexpr char row_key[] = "rules/current";

/// Rules are confirmed every second. After this part of the confirmation limit
/// without one, the entry was out of contact.
constexpr int recent_divisor = 4;

/// Agents asked in one round; each may take the whole call limit.
constexpr std::size_t agents_per_round = 4;

/// Age of the table's last answer before the first one. An entry that starts
/// during an outage must not tell agents that it was lately in contact.
constexpr core::duration never_read_age = std::chrono::hours(24);

core::error not_stored(core::error const& failure)
{
    return {core::result_code::not_run_store_unavailable,
            fmt::format("the table is unavailable, the rules were not "
                        "changed: {}",
                        failure.message)};
}

} // namespace

rules_service::rules_service(platform::table& table, peers::link_pool& links,
                             core::clock const& clock,
                             rules_neighbours neighbours,
                             guarantee_check const* check,
                             rules_service_options options)
    : clock_(clock), links_(links), neighbours_(std::move(neighbours)),
      check_(check), options_(std::move(options)),
      writer_(table, {options_.incarnation, options_.write_limit,
                      options_.retry_pause}),
      state_(clock, options_.confirmation_limit),
      table_read_at_ms_(
          (clock.now() - never_read_age).time_since_epoch().count())
{
}

std::shared_ptr<policy::rule_set const> rules_service::rules() const
{
    return state_.rules();
}

core::status rules_service::admission_state() const
{
    return state_.admission();
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
    state_.require(generation);
    if (!state_.is_behind() || is_fetching_.exchange(true))
        return;
    fetch_from(std::string(address));
    is_fetching_ = false;
}

void rules_service::record_peer_answer(std::uint64_t generation,
                                       std::string_view address,
                                       core::time_point asked_at)
{
    record_generation(generation, address);
    state_.confirm(generation, asked_at);
}

core::result<rules_service::row_content> rules_service::read_row()
{
    SEQUOIA_TRY_INTO(auto const row, writer_.read(row_key));
    if (row.version == 0)
        return row_content{};
    SEQUOIA_TRY_INTO(auto rules, core::message_from<stored_rules>(row.value));
    return row_content{row.version, std::move(rules)};
}

void rules_service::refresh()
{
    // The table may answer with an older row. An entry that has just started or
    // was frozen may have missed its successor, so it asks the others before
    // it relies on that row.
    if (!state_.is_confirmed_within(options_.confirmation_limit /
                                    recent_divisor))
        ask_entries();
    auto const asked_at = clock_.now();
    auto const outcome = read_row();
    if (core::is_ok(outcome)) {
        table_read_at_ms_ = asked_at.time_since_epoch().count();
        take_from_table(core::value(outcome).rules);
        // An older row than the rules in force confirms nothing: the table
        // answered from the past.
        state_.confirm(core::value(outcome).rules.generation, asked_at);
    } else {
        core::log(core::log_level::warning, "cannot read the rules",
                  {{"reason", core::failure(outcome).message}});
    }
    if (state_.is_behind() || rules_generation() == 0)
        fetch_missing();
}

void rules_service::take_from_table(stored_rules const& stored)
{
    auto const generation = stored.generation;
    state_.require(generation);
    if (generation > rules_generation()) {
        auto rules = rules_from(stored);
        if (!core::is_ok(rules)) {
            core::log(core::log_level::error, "rules of the table are damaged",
                      {{"reason", core::failure(rules).message}});
            return;
        }
        if (state_.install(core::value(std::move(rules)), stored.author))
            push_to_all();
    }
}

void rules_service::ask_entries()
{
    std::vector<std::future<void>> answers;
    for (auto const& address : neighbours_.entry_addresses()) {
        answers.push_back(std::async(std::launch::async,
                                     [this, address] { fetch_from(address); }));
    }
    for (auto& answer : answers)
        answer.get();
}

void rules_service::fetch_missing()
{
    ask_entries();
    if (!state_.is_behind() && rules_generation() != 0)
        return;
    auto const agents = neighbours_.agent_addresses();
    auto const count = std::min(agents_per_round, agents.size());
    for (std::size_t i = 0; i < count; ++i) {
        auto const index = agent_cursor_++ % agents.size();
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
    state_.require(core::value(message).generation);
    return install(core::value(message));
}

bool rules_service::install(rules_message const& message)
{
    if (message.rules.empty())
        return false;
    auto rules = rules_from_document(message.rules);
    if (!core::is_ok(rules)) {
        core::log(core::log_level::error, "received rules are damaged",
                  {{"reason", core::failure(rules).message}});
        return false;
    }
    return state_.install(core::value(std::move(rules)), message.author);
}

rules_message rules_service::own_message(std::uint64_t known) const
{
    auto const rules = state_.rules();
    if (rules->generation <= known)
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
    auto const known = core::value(message).generation;
    state_.require(known);
    install(core::value(message));
    return {0, {}, options_.incarnation, own_message(known)};
}

bool rules_service::push_to(std::string const& address,
                            std::uint64_t generation)
{
    auto const answer = links_.link_to(address)->call(
        peers::message_kind::rules, own_message(0), options_.call_limit);
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
    auto waiting = neighbours_.live_entries();
    push_round(waiting, outcome);
}

void rules_service::push_round(std::vector<peers::entry_record>& waiting,
                               apply_outcome& outcome)
{
    std::vector<std::future<bool>> answers;
    answers.reserve(waiting.size());
    for (auto const& entry : waiting) {
        answers.push_back(
            std::async(std::launch::async, [this, address = entry.peer_address,
                                            generation = outcome.generation] {
                return push_to(address, generation);
            }));
    }
    std::vector<peers::entry_record> still_waiting;
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        if (answers[i].get())
            outcome.confirmed.push_back(waiting[i].entry_id);
        else
            still_waiting.push_back(waiting[i]);
    }
    waiting = std::move(still_waiting);
}

void rules_service::spread(apply_outcome& outcome)
{
    auto const rounds =
        static_cast<int>(options_.confirmation_limit /
                         (options_.call_limit + options_.retry_pause));
    auto waiting = neighbours_.live_entries();
    for (int i = 0; i < rounds && !waiting.empty(); ++i) {
        push_round(waiting, outcome);
        if (!waiting.empty())
            std::this_thread::sleep_for(options_.retry_pause);
    }
    for (auto const& entry : waiting)
        outcome.unconfirmed.push_back(entry.entry_id);
}

core::status rules_service::check(std::string_view text) const
{
    SEQUOIA_TRY_INTO(auto const rules, parse_rules("rules", text));
    return check_ == nullptr ? core::success() : check_->check(rules);
}

core::error rules_service::conflict(std::uint64_t base,
                                    std::string_view text) const
{
    auto const rules = current();
    auto const base_text = state_.text_of(base);
    auto const lines =
        find_changed_lines(base_text ? *base_text : text, rules.text);
    return {
        core::result_code::rules_conflict,
        fmt::format("the rules were changed by {} to generation {} since "
                    "generation {}, from which this text was edited; {}:\n"
                    "{}",
                    rules.author.empty() ? "another operator" : rules.author,
                    rules.generation, base,
                    base_text ? "lines changed since"
                              : "lines that differ from this text",
                    describe(lines))};
}

core::status rules_service::store(row_content const& row, std::uint64_t base,
                                  stored_rules const& next)
{
    // The same text one generation later is this apply, repeated after its
    // answer was lost.
    bool const is_repeated = row.rules.generation == next.generation &&
                             row.rules.digest == next.digest &&
                             row.rules.author == next.author;
    if (is_repeated)
        return core::success();
    if (row.rules.generation < rules_generation()) {
        return core::error{core::result_code::not_run_store_unavailable,
                           "the table answered with older rules than those in "
                           "force; the rules were not changed"};
    }
    if (row.rules.generation != base)
        return conflict(base, next.text);
    std::array const conditions{platform::row_condition{row_key, row.version}};
    std::array const writes{platform::row_write{row_key, next}};
    auto status = writer_.write(conditions, writes);
    if (core::is_ok(status))
        return status;
    if (core::code_of(status) == core::result_code::conflict) {
        refresh();
        return conflict(base, next.text);
    }
    if (core::code_of(status) == core::result_code::write_unknown) {
        return core::error{core::result_code::write_unknown,
                           "the table did not tell whether it stored the "
                           "rules; they may come into force; ask for the rules "
                           "in force before another try"};
    }
    return not_stored(core::failure(status));
}

core::result<apply_outcome> rules_service::apply(std::string_view author,
                                                 std::uint64_t base,
                                                 std::string_view text)
{
    SEQUOIA_TRY(check(text));
    auto const asked_at = clock_.now();
    auto const row = read_row();
    if (!core::is_ok(row))
        return not_stored(core::failure(row));
    take_from_table(core::value(row).rules);
    stored_rules const next{base + 1, core::digest(text), std::string(author),
                            std::string(text)};
    SEQUOIA_TRY(store(core::value(row), base, next));
    SEQUOIA_TRY_INTO(auto rules, rules_from(next));
    state_.install(std::move(rules), next.author);
    state_.confirm(next.generation, asked_at);
    apply_outcome outcome{next.generation, {options_.entry_id}, {}};
    spread(outcome);
    return outcome;
}

} // namespace sequoiaroute::operators
