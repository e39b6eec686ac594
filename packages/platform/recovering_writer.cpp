#include "platform/recovering_writer.hpp"

#include <algorithm>
#include <thread>

#include <fmt/format.h>

namespace sequoiaroute::platform {

namespace {

using core::result_code;

// The number of tokens that an envelope holds. A write whose response is lost
// can be recognised until the row has been written that many times again.
constexpr std::size_t max_writer_tokens = 8;

/// @return the write tokens of a row, oldest first
std::vector<std::string> writer_tokens(core::json const& envelope)
{
    return core::valid_field_or(envelope, "writers",
                                std::vector<std::string>());
}

core::result<row> unwrap_envelope(row stored)
{
    if (stored.version == 0)
        return stored;
    if (!stored.value.is_object() || !stored.value.contains("value") ||
        !stored.value.contains("writers"))
        return core::error{result_code::internal_error,
                           fmt::format("row {} has no envelope", stored.key)};
    stored.value = core::json(std::move(stored.value["value"]));
    return stored;
}

row_condition const* find_condition(std::span<row_condition const> conditions,
                                    std::string_view key)
{
    auto const found =
        std::find_if(conditions.begin(), conditions.end(),
                     [key](auto const& item) { return item.key == key; });
    return found == conditions.end() ? nullptr : &*found;
}

bool contains(std::vector<std::string> const& tokens, std::string const& token)
{
    return std::find(tokens.begin(), tokens.end(), token) != tokens.end();
}

core::error unknown_outcome_error()
{
    return {result_code::write_unknown,
            "it is unknown whether the write took effect"};
}

} // namespace

recovering_writer::recovering_writer(table& rows,
                                     recovering_writer_options options)
    : table_(rows), options_(std::move(options))
{
}

core::result<row> recovering_writer::read(std::string_view key)
{
    SEQUOIA_TRY_INTO(auto stored, table_.read(key));
    return unwrap_envelope(std::move(stored));
}

core::result<std::vector<row>> recovering_writer::scan(std::string_view prefix)
{
    SEQUOIA_TRY_INTO(auto stored, table_.scan(prefix));
    for (auto& item : stored) {
        SEQUOIA_TRY_INTO(item, unwrap_envelope(std::move(item)));
    }
    return stored;
}

core::status recovering_writer::write(std::span<row_condition const> conditions,
                                      std::span<row_write const> writes)
{
    transaction pending;
    pending.token =
        fmt::format("{}.{}", options_.incarnation, next_sequence_++);
    pending.conditions.assign(conditions.begin(), conditions.end());
    pending.deadline = clock_.now() + options_.time_limit;
    for (auto const& write : writes)
        SEQUOIA_TRY(add_write(pending, write));
    return commit_and_recover(pending);
}

core::status recovering_writer::add_write(transaction& pending,
                                          row_write const& write)
{
    auto const* const condition = find_condition(pending.conditions, write.key);
    std::vector<std::string> writers;
    if (condition == nullptr || condition->version != 0) {
        auto const outcome = table_.read(write.key);
        if (!core::is_ok(outcome))
            return core::error{result_code::store_unavailable,
                               core::failure(outcome).message};
        auto const& stored = core::value(outcome);
        if (condition == nullptr)
            pending.conditions.push_back({write.key, stored.version});
        else if (stored.version > condition->version || stored.version == 0)
            return core::error{result_code::conflict,
                               fmt::format("row {} has changed", write.key)};
        else if (stored.version < condition->version)
            // The read was stale: the caller has already seen a later version.
            return core::error{result_code::store_unavailable,
                               "the table answered with a stale row"};
        writers = writer_tokens(stored.value);
    }
    pending.previous_tokens.push_back(writers.empty() ? "" : writers.back());
    row_write envelope{write.key, std::nullopt};
    if (write.value) {
        writers.push_back(pending.token);
        if (writers.size() > max_writer_tokens)
            writers.erase(writers.begin());
        envelope.value = core::json{{"value", *write.value},
                                    {"writers", std::move(writers)}};
    }
    pending.writes.push_back(std::move(envelope));
    return core::success();
}

core::status recovering_writer::commit_and_recover(transaction const& pending)
{
    bool may_have_committed = false;
    while (true) {
        auto outcome = table_.commit(pending.conditions, pending.writes);
        auto const code = core::code_of(outcome);
        may_have_committed |= code == result_code::write_unknown;
        if (code == result_code::ok || !may_have_committed)
            return outcome;
        // An earlier commit of this transaction may have taken effect. The rows
        // are therefore read even after a conflict or a refusal.
        bool can_resend = false;
        while (!can_resend) {
            std::this_thread::sleep_for(options_.retry_delay);
            if (clock_.now() >= pending.deadline)
                return unknown_outcome_error();
            switch (inspect_rows(pending)) {
            case write_evidence::took_effect:
                return core::success();
            case write_evidence::superseded:
                return core::error{result_code::conflict,
                                   "another writer changed a row"};
            case write_evidence::undetermined:
                return unknown_outcome_error();
            case write_evidence::unreadable:
                continue;
            case write_evidence::unchanged:
                break;
            }
            if (code == result_code::conflict) {
                bool is_final = false;
                auto confirmed = confirm_conflict(pending, is_final);
                if (is_final)
                    return confirmed;
                continue;
            }
            can_resend = true;
        }
    }
}

// If a repeated commit conflicts although the written rows appear unchanged,
// either a row that is only a condition has changed, or the read was stale. A
// commit without writes, which only checks the versions of the written rows,
// distinguishes the two: it succeeds if the rows are indeed unchanged.
core::status recovering_writer::confirm_conflict(transaction const& pending,
                                                 bool& is_final)
{
    std::vector<row_condition> written_rows;
    for (auto const& write : pending.writes)
        written_rows.push_back(*find_condition(pending.conditions, write.key));
    is_final = core::is_ok(table_.commit(written_rows, {}));
    return core::error{result_code::conflict,
                       "a row that the write depends on has changed"};
}

// The commit is atomic, so the outcome for one written row holds for all of
// them.
recovering_writer::write_evidence
recovering_writer::inspect_rows(transaction const& pending)
{
    auto evidence = write_evidence::unreadable;
    for (std::size_t index = 0; index < pending.writes.size(); ++index) {
        auto const row_evidence = inspect_row(pending, index);
        if (row_evidence == write_evidence::took_effect ||
            row_evidence == write_evidence::unchanged ||
            row_evidence == write_evidence::superseded)
            return row_evidence;
        if (row_evidence == write_evidence::undetermined)
            evidence = row_evidence;
    }
    return evidence;
}

recovering_writer::write_evidence
recovering_writer::inspect_row(transaction const& pending, std::size_t index)
{
    auto const& write = pending.writes[index];
    auto const expected_version =
        find_condition(pending.conditions, write.key)->version;
    auto const outcome = table_.read(write.key);
    if (!core::is_ok(outcome))
        return write_evidence::unreadable;
    auto const& stored = core::value(outcome);
    if (stored.version == expected_version)
        return write_evidence::unchanged;
    if (stored.version == 0)
        // If the write was a deletion, it is achieved. Otherwise a deletion,
        // which leaves no tokens, may have followed this write.
        return write.value ? write_evidence::undetermined
                           : write_evidence::took_effect;
    if (stored.version < expected_version)
        return write_evidence::unreadable;
    auto const writers = writer_tokens(stored.value);
    if (contains(writers, pending.token))
        return write_evidence::took_effect;
    // The token of this write would directly follow the previous token. If the
    // row no longer has the previous token, this one may have been dropped too.
    auto const& previous = pending.previous_tokens[index];
    bool const is_history_complete = previous.empty()
                                         ? writers.size() < max_writer_tokens
                                         : contains(writers, previous);
    return is_history_complete ? write_evidence::superseded
                               : write_evidence::undetermined;
}

} // namespace sequoiaroute::platform
