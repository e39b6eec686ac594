#include "platform/http_executor_client.hpp"

#include <fmt/format.h>

namespace sequoiaroute::platform {

namespace {

using core::result_code;

/// Converts an error of the HTTP client into an error of execute().
core::error to_execution_error(core::error const& failure)
{
    switch (failure.code) {
    case result_code::unreachable:
        return {result_code::refused_not_run, failure.message};
    case result_code::answer_incomplete:
        return failure;
    default:
        return {result_code::outcome_unknown, failure.message};
    }
}

} // namespace

http_executor_client::http_executor_client(http::http_client& client,
                                           std::string address)
    : client_(client), address_(std::move(address))
{
}

core::result<std::string>
http_executor_client::execute(execution_request const& request)
{
    http::http_request const message{
        "POST",
        "/execute",
        {},
        {{"Attempt-Id", request.attempt_id},
         {"Request-Id", request.request_id},
         {"Customer", request.customer},
         {"Time-Limit-Ms", std::to_string(request.time_limit.count())}},
        std::string(request.body)};
    auto outcome = client_.send(address_, message, request.time_limit);
    if (!core::is_ok(outcome))
        return to_execution_error(core::failure(outcome));
    auto& response = core::value(outcome);
    switch (response.status) {
    case 200:
        return std::move(response.body);
    case 500:
        return core::error{result_code::execution_failed, response.body};
    case 503:
        return core::error{result_code::refused_not_run, response.body};
    default:
        return core::error{
            result_code::outcome_unknown,
            fmt::format("the executor answered with HTTP status {}",
                        response.status)};
    }
}

} // namespace sequoiaroute::platform
