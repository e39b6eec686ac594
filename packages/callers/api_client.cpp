#include "callers/api_client.hpp"

#include "core/identifier.hpp"

#include <algorithm>

namespace sequoiaroute::callers {

namespace {

using core::result_code;
using targets::request_answer;

// An entry responds at the time limit of the request at the latest. The client
// waits longer by this margin, so that this response still arrives.
constexpr core::duration response_margin{3000};
constexpr core::duration lookup_timeout{5000};
constexpr core::duration retry_delay{200};

core::error to_error(http::http_response const& response)
{
    core::error failure{result_code::internal_error,
                        "the entry answered with HTTP status " +
                            std::to_string(response.status)};
    auto const document = core::parse_json(response.body);
    if (!core::is_ok(document) || !core::value(document).is_object())
        return failure;
    auto const& fields = core::value(document);
    failure.code = static_cast<result_code>(core::valid_field_or(
        fields, "code", static_cast<std::uint16_t>(failure.code)));
    failure.message = core::valid_field_or(fields, "message", failure.message);
    return failure;
}

core::result<request_answer> to_answer(http::http_response response)
{
    if (response.status != 200)
        return to_error(response);
    auto const digest = response.headers.find("Answer-Digest");
    auto const is_intact = digest != response.headers.end() &&
                           digest->second == core::digest(response.body);
    if (!is_intact) {
        return core::error{result_code::answer_incomplete,
                           "the answer does not match its digest"};
    }
    return request_answer{std::move(response.body), digest->second};
}

/// @return whether the connection failed after the request may have been sent,
///         or the answer arrived incomplete
bool is_connection_error(result_code code)
{
    return code == result_code::timed_out ||
           code == result_code::answer_incomplete;
}

/// @return whether a request that one entry refused may be accepted by another
bool is_retryable_elsewhere(result_code code)
{
    return code == result_code::unreachable ||
           code == result_code::stopping_not_run ||
           code == result_code::not_ready ||
           code == result_code::rules_unconfirmed;
}

} // namespace

api_client::api_client(http::http_client& client, core::clock const& clock,
                       std::function<void(core::duration)> sleep,
                       options options)
    : client_(client), clock_(clock), sleep_(std::move(sleep)),
      options_(std::move(options))
{
}

core::result<request_answer> api_client::send(api_request& request)
{
    if (request.request_id.empty())
        request.request_id = core::make_identifier();
    send_state state{clock_.now() + request.time_limit, false, {}};
    std::size_t refusal_count = 0;
    while (true) {
        auto outcome = submit_to_next_entry(request, state);
        auto const code = core::code_of(outcome);
        if (code == result_code::ok)
            return outcome;
        state.last_error = core::failure(outcome);
        auto const should_continue = is_connection_error(code) ||
                                     is_retryable_elsewhere(code) ||
                                     code == result_code::still_running;
        if (!should_continue && !(state.may_have_run && core::is_not_run(code)))
            return outcome;
        // Never reset: if an entry refuses the request, another entry may still
        // have run it after an earlier attempt.
        if (is_connection_error(code) || code == result_code::still_running)
            state.may_have_run = true;
        if (state.may_have_run && resolve_outcome(request, state, outcome))
            return outcome;
        auto const all_entries_refused =
            is_retryable_elsewhere(code) &&
            ++refusal_count >= options_.addresses.size();
        if (all_entries_refused && !state.may_have_run)
            return state.last_error;
        if (state.may_have_run)
            sleep_(retry_delay);
    }
}

bool api_client::resolve_outcome(api_request const& request, send_state& state,
                                 core::result<request_answer>& outcome)
{
    while (remaining_time(state) > core::duration{}) {
        // The entries claim an unrepeatable request in the table before they
        // run it, so it is safe to send it again.
        if (request.is_unrepeatable)
            return false;
        auto found =
            find_at_next_entry(request.request_id,
                               std::min(lookup_timeout, remaining_time(state)));
        auto const code = core::code_of(found);
        // No answer is available now, for example because a store is down. A
        // repeatable request may then run again.
        if (code == result_code::unknown_request ||
            code == result_code::store_unavailable ||
            code == result_code::outcome_unknown)
            return false;
        auto const is_unresolved = is_connection_error(code) ||
                                   code == result_code::unreachable ||
                                   code == result_code::still_running;
        if (!is_unresolved) {
            outcome = std::move(found);
            return true;
        }
        state.last_error = core::failure(found);
        sleep_(retry_delay);
    }
    outcome = core::error{result_code::outcome_unknown,
                          "The request may have run. Ask for its result later "
                          "under request id " +
                              request.request_id +
                              ". Last error: " + state.last_error.message};
    return true;
}

core::duration api_client::remaining_time(send_state const& state) const
{
    return std::max(core::duration{}, state.deadline - clock_.now());
}

http::http_request
api_client::make_submission(api_request const& request,
                            core::duration remaining_time) const
{
    http::http_request message;
    message.method = "POST";
    message.path = "/v1/requests";
    message.headers["Request-Id"] = request.request_id;
    message.headers["Service"] = request.service;
    message.headers["Time-Limit-Ms"] = std::to_string(
        std::max<core::duration::rep>(1, remaining_time.count()));
    if (request.is_unrepeatable)
        message.headers["Unrepeatable"] = "true";
    message.body = request.body;
    return message;
}

core::result<request_answer>
api_client::submit_to_next_entry(api_request const& request,
                                 send_state const& state)
{
    auto const submission_time_limit = remaining_time(state);
    SEQUOIA_TRY_INTO(
        auto response,
        send_to_next(make_submission(request, submission_time_limit),
                     submission_time_limit + response_margin));
    return to_answer(std::move(response));
}

core::result<request_answer>
api_client::find_at_next_entry(std::string_view request_id,
                               core::duration limit)
{
    http::http_request message;
    message.method = "GET";
    message.path = std::string("/v1/requests/").append(request_id);
    SEQUOIA_TRY_INTO(auto response, send_to_next(std::move(message), limit));
    return to_answer(std::move(response));
}

core::result<request_answer> api_client::find(std::string_view request_id)
{
    core::result<request_answer> outcome = core::error{};
    for (std::size_t count = 0; count < options_.addresses.size(); ++count) {
        outcome = find_at_next_entry(request_id, options_.time_limit);
        auto const code = core::code_of(outcome);
        if (!is_connection_error(code) && !is_retryable_elsewhere(code))
            break;
    }
    return outcome;
}

core::result<core::json> api_client::submit_job(core::json job)
{
    if (job.is_object() && !job.contains("job_id"))
        job["job_id"] = core::make_identifier();
    return send_to_any_entry("POST", "/v1/jobs", job.dump());
}

core::result<core::json> api_client::send_to_any_entry(std::string method,
                                                       std::string path,
                                                       std::string body)
{
    http::http_request message;
    message.method = std::move(method);
    message.path = std::move(path);
    message.body = std::move(body);
    core::error failure{result_code::unreachable,
                        "no entry address is configured"};
    bool may_have_arrived = false;
    for (std::size_t count = 0; count < options_.addresses.size(); ++count) {
        auto const response = send_to_next(message, options_.time_limit);
        if (core::is_ok(response)) {
            if (core::value(response).status < 300)
                return core::parse_json(core::value(response).body);
            failure = to_error(core::value(response));
            if (!is_retryable_elsewhere(failure.code))
                break;
        } else {
            failure = core::failure(response);
            may_have_arrived |= failure.code != result_code::unreachable;
        }
    }
    // If the last entry refused the request, another one that was tried before
    // may still have accepted it.
    if (may_have_arrived && (core::is_not_run(failure.code) ||
                             failure.code == result_code::unreachable))
        failure.code = result_code::outcome_unknown;
    return failure;
}

core::result<http::http_response>
api_client::send_to_next(http::http_request request, core::duration limit)
{
    if (options_.addresses.empty())
        return core::error{result_code::unreachable,
                           "no entry address is configured"};
    request.headers["Authorization"] = "Bearer " + options_.key;
    auto const& address =
        options_.addresses[next_address_index_ % options_.addresses.size()];
    auto response = client_.send(address, request, limit);
    // Later requests go to another entry first.
    if (!core::is_ok(response) || core::value(response).status >= 500)
        ++next_address_index_;
    return response;
}

} // namespace sequoiaroute::callers
