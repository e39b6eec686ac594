#include "callers/job_api.hpp"

#include "callers/job_submission_parser.hpp"
#include "core/identifier.hpp"

#include <absl/time/time.h>
#include <fmt/format.h>

namespace sequoiaroute::callers {

namespace {

using core::json;
using core::result_code;

constexpr std::string_view job_path_prefix = "/v1/jobs/";
constexpr int http_created = 201;
constexpr char retry_after_seconds[] = "2";

json to_json(decider::job_status const& status)
{
    auto const& record = status.record;
    auto workers = json::array();
    for (auto const& member : record.placed)
        workers.push_back(member.worker_id);
    auto const submitted_at = absl::FromUnixMillis(record.submitted_at_unix_ms);
    return {{"job_id", record.job_id},
            {"customer", record.customer},
            {"state", record.state},
            {"code", record.code},
            {"name", core::name(static_cast<result_code>(record.code))},
            {"status", status.text},
            {"attempt", record.attempt},
            {"workers", std::move(workers)},
            {"submitted_at", absl::FormatTime(absl::RFC3339_sec, submitted_at,
                                              absl::UTCTimeZone())},
            {"result", status.result}};
}

http::http_response to_response(json const& document, int status = 200)
{
    http::http_response response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.headers["Result-Code"] = "0";
    // The result of a job may contain bytes that are not valid UTF-8.
    response.body =
        document.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

http::http_response to_error_response(core::error const& failure)
{
    auto response = http::error_response(failure);
    if (core::is_not_run(failure.code))
        response.headers["Retry-After"] = retry_after_seconds;
    return response;
}

core::result<std::string> parse_job_id(http::http_request const& request)
{
    auto const job_id =
        std::string_view(request.path).substr(job_path_prefix.size());
    if (!core::is_identifier(job_id)) {
        return core::error{result_code::bad_request,
                           "the path does not end in a valid job id"};
    }
    return std::string(job_id);
}

} // namespace

job_api::job_api(http::http_server& server, customer_keys const& keys,
                 decider::job_service& jobs, policy::rules_provider& rules,
                 std::size_t body_limit)
    : keys_(keys), jobs_(jobs), rules_(rules), body_limit_(body_limit)
{
    add_route(server, "POST", "/v1/jobs", &job_api::submit);
    add_route(server, "GET", "/v1/jobs", &job_api::list);
    add_route(server, "GET", "/v1/jobs/", &job_api::status);
    add_route(server, "DELETE", "/v1/jobs", &job_api::cancel_queued);
    add_route(server, "DELETE", "/v1/jobs/", &job_api::cancel);
}

void job_api::add_route(http::http_server& server, char const* method,
                        char const* path,
                        http::http_response (job_api::*handler)(
                            std::string const&, http::http_request const&))
{
    server.route(method, path, [this, handler](auto const& request) {
        auto const customer =
            keys_.authenticate(request.header("Authorization"));
        if (!core::is_ok(customer))
            return to_error_response(core::failure(customer));
        return (this->*handler)(core::value(customer), request);
    });
}

core::status job_api::check_admission(std::string const& customer) const
{
    if (is_draining_) {
        return core::error{result_code::stopping_not_run,
                           "this entry is stopping; use another one"};
    }
    SEQUOIA_TRY(rules_.admission_state());
    if (!rules_.rules()->customers.contains(customer)) {
        return core::error{result_code::forbidden,
                           "the rules do not name customer " + customer};
    }
    return core::success();
}

http::http_response job_api::submit(std::string const& customer,
                                    http::http_request const& request)
{
    if (request.body.size() > body_limit_) {
        return to_error_response(
            {result_code::body_too_large,
             fmt::format("the body is larger than {} bytes", body_limit_)});
    }
    auto const job = job_submission_parser::parse(customer, request.body);
    if (!core::is_ok(job))
        return to_error_response(core::failure(job));
    auto const admission = check_admission(customer);
    if (!core::is_ok(admission))
        return to_error_response(core::failure(admission));
    auto const outcome = jobs_.submit(core::value(job));
    if (!core::is_ok(outcome))
        return to_error_response(core::failure(outcome));
    return to_response(to_json(core::value(outcome)), http_created);
}

http::http_response job_api::status(std::string const& customer,
                                    http::http_request const& request)
{
    auto const job_id = parse_job_id(request);
    if (!core::is_ok(job_id))
        return to_error_response(core::failure(job_id));
    auto const outcome = jobs_.status(customer, core::value(job_id));
    if (!core::is_ok(outcome))
        return to_error_response(core::failure(outcome));
    return to_response(to_json(core::value(outcome)));
}

http::http_response job_api::list(std::string const& customer,
                                  http::http_request const& /*request*/)
{
    auto const outcome = jobs_.list(customer);
    if (!core::is_ok(outcome))
        return to_error_response(core::failure(outcome));
    auto jobs = json::array();
    for (auto const& job : core::value(outcome))
        jobs.push_back(to_json(job));
    return to_response(jobs);
}

http::http_response job_api::cancel(std::string const& customer,
                                    http::http_request const& request)
{
    auto const job_id = parse_job_id(request);
    if (!core::is_ok(job_id))
        return to_error_response(core::failure(job_id));
    auto const outcome = jobs_.cancel(customer, core::value(job_id));
    if (!core::is_ok(outcome))
        return to_error_response(core::failure(outcome));
    return to_response(to_json(core::value(outcome)));
}

http::http_response
job_api::cancel_queued(std::string const& customer,
                       http::http_request const& /*request*/)
{
    auto const outcome = jobs_.cancel_queued(customer);
    if (!core::is_ok(outcome))
        return to_error_response(core::failure(outcome));
    return to_response({{"cancelled", core::value(outcome)}});
}

} // namespace sequoiaroute::callers
