#include "core/result_code.hpp"

#include <algorithm>
#include <array>

namespace sequoiaroute::core {

namespace {

struct code_properties
{
    result_code code;
    std::string_view name;
    int http_status;
};

constexpr std::array properties_by_code{
    code_properties{result_code::ok, "ok", 200},
    code_properties{result_code::bad_request, "bad_request", 400},
    code_properties{result_code::body_too_large, "body_too_large", 413},
    code_properties{result_code::unauthorized, "unauthorized", 401},
    code_properties{result_code::forbidden, "forbidden", 403},
    code_properties{result_code::unknown_request, "unknown_request", 404},
    code_properties{result_code::unknown_job, "unknown_job", 404},
    code_properties{result_code::request_id_reused, "request_id_reused", 409},
    code_properties{result_code::bad_settings, "bad_settings", 400},
    code_properties{result_code::bad_rules, "bad_rules", 400},
    code_properties{result_code::rules_conflict, "rules_conflict", 409},
    code_properties{result_code::job_never_fits, "job_never_fits", 422},
    code_properties{result_code::client_too_slow, "client_too_slow", 408},
    code_properties{result_code::guarantees_do_not_fit, "guarantees_do_not_fit",
                    422},
    code_properties{result_code::overloaded_not_run, "overloaded_not_run", 503},
    code_properties{result_code::limit_exceeded_not_run,
                    "limit_exceeded_not_run", 429},
    code_properties{result_code::not_run_store_unavailable,
                    "not_run_store_unavailable", 503},
    code_properties{result_code::not_ready, "not_ready", 503},
    code_properties{result_code::rules_unconfirmed, "rules_unconfirmed", 503},
    code_properties{result_code::stopping_not_run, "stopping_not_run", 503},
    code_properties{result_code::no_target_not_run, "no_target_not_run", 503},
    code_properties{result_code::refused_not_run, "refused_not_run", 503},
    code_properties{result_code::deadline_not_run, "deadline_not_run", 504},
    code_properties{result_code::outcome_unknown, "outcome_unknown", 504},
    code_properties{result_code::answer_incomplete, "answer_incomplete", 502},
    code_properties{result_code::deadline_exceeded, "deadline_exceeded", 504},
    code_properties{result_code::execution_failed, "execution_failed", 502},
    code_properties{result_code::job_fails_everywhere, "job_fails_everywhere",
                    422},
    code_properties{result_code::cancelled, "cancelled", 409},
    code_properties{result_code::still_running, "still_running", 202},
    code_properties{result_code::store_unavailable, "store_unavailable", 503},
    code_properties{result_code::write_unknown, "write_unknown", 504},
    code_properties{result_code::conflict, "conflict", 409},
    code_properties{result_code::stale_term, "stale_term", 409},
    code_properties{result_code::unreachable, "unreachable", 502},
    code_properties{result_code::timed_out, "timed_out", 504},
    code_properties{result_code::unknown_attempt, "unknown_attempt", 404},
    code_properties{result_code::not_found, "not_found", 404},
    code_properties{result_code::internal_error, "internal_error", 500},
};

code_properties const* find_properties(result_code code)
{
    auto const* const properties =
        std::find_if(properties_by_code.begin(), properties_by_code.end(),
                     [code](auto const& row) { return row.code == code; });
    return properties == properties_by_code.end() ? nullptr : properties;
}

/// @return the hundreds of the code: 1 for 1xx, and so on
int group(result_code code)
{
    return static_cast<int>(code) / 100;
}

} // namespace

std::string_view name(result_code code)
{
    auto const* const properties = find_properties(code);
    return properties == nullptr ? "unknown_code" : properties->name;
}

int http_status(result_code code)
{
    auto const* const properties = find_properties(code);
    return properties == nullptr ? 500 : properties->http_status;
}

int exit_status(result_code code)
{
    return code == result_code::ok ? 0 : group(code) + 1;
}

bool is_not_run(result_code code)
{
    return group(code) == 2;
}

} // namespace sequoiaroute::core
