#pragma once

#include <cstdint>
#include <string_view>

namespace sequoiaroute::core {

/// Outcomes that are reported to callers and operators and exchanged between
/// processes. Numbers and names never change their meaning;
/// docs/result-codes.md explains each code and what a caller does about it.
enum class result_code : std::uint16_t
{
    ok = 0,

    // The request is invalid; a retry without a change cannot succeed.
    bad_request = 100,
    body_too_large = 101,
    unauthorized = 102, ///< key missing or unknown
    forbidden = 103,    ///< valid key without permission
    unknown_request = 104,
    unknown_job = 105,
    request_id_reused = 106, ///< the id was used for another body
    bad_settings = 107,      ///< invalid settings file or key file
    bad_rules = 108,
    rules_conflict = 109,  ///< the rules changed since they were read
    job_never_fits = 110,  ///< no placement on this fleet can hold the job
    client_too_slow = 111, ///< the request was not received in time
    guarantees_do_not_fit = 112,

    // This submission was not run.
    overloaded_not_run = 200,     ///< slots and queue of the service are full
    limit_exceeded_not_run = 201, ///< a limit of the customer is reached
    not_run_store_unavailable = 202,
    not_ready = 203,         ///< the entry has no rules yet
    rules_unconfirmed = 204, ///< rules not confirmed in time to be in force
    stopping_not_run = 205,  ///< the entry or target is stopping
    no_target_not_run = 206, ///< no executor of the service accepts work
    refused_not_run = 207,   ///< every target that was tried refused
    deadline_not_run = 208,  ///< no target accepted the work in time

    // Outcomes of accepted work.
    outcome_unknown = 300,      ///< the work may have run
    answer_incomplete = 301,    ///< the work ran; answer cut short or altered
    deadline_exceeded = 302,    ///< no answer before the deadline; may have run
    execution_failed = 303,     ///< the executor or task reported a failure
    job_fails_everywhere = 304, ///< failed on several distinct workers
    cancelled = 305,
    still_running = 306,

    // Errors between processes of the scheduler, or of the platform.
    store_unavailable = 400,
    write_unknown = 401,   ///< the write may have taken effect
    conflict = 402,        ///< another writer changed the state first
    stale_term = 403,      ///< sent by a decider that has been replaced
    unreachable = 404,     ///< no connection was made; nothing was sent
    timed_out = 405,       ///< no answer in time; may have been handled
    unknown_attempt = 406, ///< the agent has no such attempt
    not_found = 407,       ///< no such row, object or route
    internal_error = 408,
};

/// @param code a result code
/// @return its stable name; "unknown_code" for a number that is not a code
std::string_view name(result_code code);

/// @param code a result code
/// @return the status of the HTTP response that reports it; 500 for a number
///         that is not a code
int http_status(result_code code);

/// Returns the exit status of the command line for a code.
/// @param code a result code
/// @return 0 for ok, 2 for an invalid request, 3 for work that was not run, 4
///         for accepted work without a success, 5 for an error of the
///         scheduler or the platform
int exit_status(result_code code);

/// @param code a result code
/// @return true for the 2xx group, which guarantees that this submission was
///         not run
bool is_not_run(result_code code);

} // namespace sequoiaroute::core
