#include "callers/request_api.hpp"

#include "core/identifier.hpp"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

namespace sequoiaroute::callers {

namespace {

using core::result_code;

constexpr std::string_view request_path_prefix = "/v1/requests/";
constexpr core::duration max_time_limit{600'000};
/// Sent in Retry-After if the refusal has no delay of its own.
constexpr core::duration default_retry_after{1000};

core::error bad_request_error(std::string message)
{
    return {result_code::bad_request, std::move(message)};
}

http::http_response
to_response(core::result<targets::request_answer> const& outcome,
            std::string_view request_id, core::duration retry_after)
{
    http::http_response response;
    if (core::is_ok(outcome)) {
        auto const& answer = core::value(outcome);
        response.body = answer.body;
        response.headers["Content-Type"] = "application/octet-stream";
        response.headers["Answer-Digest"] = answer.digest;
        response.headers["Result-Code"] = "0";
    } else {
        response = http::error_response(core::failure(outcome));
    }
    if (core::is_not_run(core::code_of(outcome))) {
        auto const wait =
            retry_after > core::duration{} ? retry_after : default_retry_after;
        auto const seconds = std::chrono::ceil<std::chrono::seconds>(wait);
        response.headers["Retry-After"] = std::to_string(seconds.count());
    }
    if (!request_id.empty())
        response.headers["Request-Id"] = request_id;
    return response;
}

core::result<core::duration> parse_time_limit(std::string_view text)
{
    if (text.empty())
        return request_submission{}.time_limit;
    core::duration::rep milliseconds = 0;
    if (!absl::SimpleAtoi(std::string(text), &milliseconds) ||
        milliseconds < 1 || milliseconds > max_time_limit.count()) {
        return bad_request_error(fmt::format(
            "header Time-Limit-Ms must be a whole number from 1 to {}",
            max_time_limit.count()));
    }
    return core::duration(milliseconds);
}

core::result<bool> parse_flag(std::string_view name, std::string_view text)
{
    if (text.empty() || text == "false")
        return false;
    if (text == "true")
        return true;
    return bad_request_error(
        fmt::format("header {} must be true or false", name));
}

} // namespace

request_api::request_api(http::http_server& server, customer_keys const& keys,
                         request_service& service, std::size_t body_limit)
    : keys_(keys), service_(service), body_limit_(body_limit)
{
    server.route("POST", "/v1/requests",
                 [this](auto const& request) { return submit(request); });
    server.route("GET", request_path_prefix,
                 [this](auto const& request) { return find(request); });
}

http::http_response request_api::submit(http::http_request const& request)
{
    auto const parsed = parse_submission(request);
    if (!core::is_ok(parsed))
        return http::error_response(core::failure(parsed));
    auto const& submission = core::value(parsed);
    auto const outcome = service_.submit(submission);
    return to_response(outcome.answer, submission.request_id,
                       outcome.retry_after);
}

core::result<request_submission>
request_api::parse_submission(http::http_request const& request)
{
    request_submission submission;
    SEQUOIA_TRY_INTO(submission.customer,
                     keys_.authenticate(request.header("Authorization")));
    if (request.body.size() > body_limit_) {
        return core::error{
            result_code::body_too_large,
            fmt::format("the body is larger than {} bytes", body_limit_)};
    }
    submission.request_id = request.header("Request-Id");
    if (submission.request_id.empty())
        submission.request_id = core::make_identifier();
    if (!core::is_identifier(submission.request_id))
        return bad_request_error("header Request-Id is not a valid id");
    submission.service = request.header("Service");
    if (!core::is_identifier(submission.service))
        return bad_request_error(
            "header Service must name the executor service");
    SEQUOIA_TRY_INTO(
        submission.is_unrepeatable,
        parse_flag("Unrepeatable", request.header("Unrepeatable")));
    SEQUOIA_TRY_INTO(submission.time_limit,
                     parse_time_limit(request.header("Time-Limit-Ms")));
    submission.body = request.body;
    return submission;
}

http::http_response request_api::find(http::http_request const& request)
{
    auto const customer = keys_.authenticate(request.header("Authorization"));
    if (!core::is_ok(customer))
        return http::error_response(core::failure(customer));
    auto const request_id =
        std::string_view(request.path).substr(request_path_prefix.size());
    if (!core::is_identifier(request_id)) {
        return http::error_response(
            bad_request_error("the path does not end in a valid request id"));
    }
    return to_response(service_.find(core::value(customer), request_id),
                       request_id, {});
}

} // namespace sequoiaroute::callers
