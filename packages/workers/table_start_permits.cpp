#include "workers/table_start_permits.hpp"

#include <utility>

#include <fmt/format.h>

namespace sequoiaroute::workers {

namespace {

using core::result_code;

std::string make_row_key(request_attempt const& attempt)
{
    return fmt::format("requests/{}/{}", attempt.customer, attempt.request_id);
}

bool is_claimed_for(core::json const& value, request_attempt const& attempt)
{
    if (!value.is_object() ||
        core::valid_field_or(value, "state", std::string()) != "claimed")
        return false;
    // The attempt number alone fences older attempts. The row of a new claim
    // may have no attempt id yet.
    auto const attempt_id =
        core::valid_field_or(value, "attempt_id", std::string());
    return core::valid_field_or(value, "attempt", std::uint64_t{0}) ==
               attempt.claim_attempt &&
           (attempt_id.empty() || attempt_id == attempt.attempt_id);
}

} // namespace

bool table_start_permits::belongs_to(core::json const& value,
                                     request_attempt const& attempt) const
{
    return value.is_object() &&
           core::valid_field_or(value, "attempt_id", std::string()) ==
               attempt.attempt_id &&
           core::valid_field_or(value, "agent_incarnation", std::string()) ==
               incarnation_;
}

core::status table_start_permits::write(platform::row const& row,
                                        core::json new_value)
{
    platform::row_condition const condition{row.key, row.version};
    platform::row_write const write{row.key, std::move(new_value)};
    return writer_.write({&condition, 1}, {&write, 1});
}

core::status table_start_permits::acquire(request_attempt const& attempt)
{
    auto const read = writer_.read(make_row_key(attempt));
    if (!is_ok(read)) {
        return core::error{result_code::not_run_store_unavailable,
                           failure(read).message};
    }
    auto new_value = value(read).value;
    if (!is_claimed_for(new_value, attempt)) {
        return core::error{result_code::refused_not_run,
                           "the row of the request is not claimed for this "
                           "attempt"};
    }
    new_value["state"] = "started";
    new_value["attempt_id"] = attempt.attempt_id;
    new_value["agent_incarnation"] = incarnation_;
    auto const outcome = write(value(read), std::move(new_value));
    switch (code_of(outcome)) {
    case result_code::ok:
        return core::success();
    case result_code::conflict:
        return core::error{result_code::refused_not_run,
                           "the row of the request was changed concurrently"};
    case result_code::store_unavailable:
        return core::error{result_code::not_run_store_unavailable,
                           failure(outcome).message};
    default:
        return core::error{
            result_code::outcome_unknown,
            "the outcome of the write to the request's row is not known"};
    }
}

core::status
table_start_permits::update_started_row(request_attempt const& attempt,
                                        core::json const& changes)
{
    SEQUOIA_TRY_INTO(auto const row, writer_.read(make_row_key(attempt)));
    auto new_value = row.value;
    if (!belongs_to(new_value, attempt))
        return core::error{result_code::conflict,
                           "the row belongs to another attempt"};
    if (core::valid_field_or(new_value, "state", std::string()) ==
        core::valid_field_or(changes, "state", std::string()))
        return core::success();
    if (core::valid_field_or(new_value, "state", std::string()) != "started")
        return core::error{result_code::conflict,
                           "the row is not in state started"};
    new_value.update(changes);
    return write(row, std::move(new_value));
}

core::status table_start_permits::record_outcome(request_attempt const& attempt,
                                                 permit_outcome const& outcome)
{
    auto const is_finished = outcome.code == result_code::ok;
    return update_started_row(
        attempt, {{"state", is_finished ? "finished" : "failed"},
                  {"code", static_cast<std::uint16_t>(outcome.code)},
                  {"message", outcome.message}});
}

core::status
table_start_permits::revert_to_claimed(request_attempt const& attempt)
{
    return update_started_row(attempt, {{"state", "claimed"}});
}

} // namespace sequoiaroute::workers
