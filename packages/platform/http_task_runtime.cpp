#include "platform/http_task_runtime.hpp"

#include <fmt/format.h>

namespace sequoiaroute::platform {

namespace {

core::result_code to_result_code(int status)
{
    switch (status) {
    case 400:
        return core::result_code::bad_request;
    case 404:
        return core::result_code::not_found;
    case 503:
        return core::result_code::unreachable;
    default:
        return core::result_code::internal_error;
    }
}

std::string task_path(std::string_view task_id, std::string_view command)
{
    return fmt::format("/tasks/{}/{}", task_id, command);
}

} // namespace

http_task_runtime::http_task_runtime(http::http_client& client,
                                     service_endpoint service)
    : client_(client), service_(std::move(service))
{
}

core::status http_task_runtime::send_command(std::string_view path,
                                             core::json const& document)
{
    auto const outcome = post_json(client_, service_, path, document);
    if (!core::is_ok(outcome))
        return core::failure(outcome);
    auto const& response = core::value(outcome);
    if (response.status == 200)
        return core::success();
    return unexpected_status(to_result_code(response.status), path, response);
}

core::status http_task_runtime::start(task_specification const& task)
{
    return send_command("/tasks", {{"task_id", task.task_id},
                                   {"customer", task.customer},
                                   {"resources", task.resources},
                                   {"command", task.command},
                                   {"input_key", task.input_key},
                                   {"restore_from", task.restore_from},
                                   {"lease_ms", task.lease.count()}});
}

core::status http_task_runtime::renew(std::string_view task_id,
                                      core::duration lease)
{
    return send_command(task_path(task_id, "renew"),
                        {{"lease_ms", lease.count()}});
}

core::status http_task_runtime::checkpoint(std::string_view task_id)
{
    return send_command(task_path(task_id, "checkpoint"), core::json::object());
}

core::status http_task_runtime::throttle(std::string_view task_id, int percent)
{
    return send_command(task_path(task_id, "throttle"), {{"percent", percent}});
}

core::status http_task_runtime::stop(std::string_view task_id)
{
    auto outcome =
        send_command(task_path(task_id, "stop"), core::json::object());
    // A task that the runtime does not have is certainly not running.
    if (core::code_of(outcome) == core::result_code::not_found)
        return core::success();
    return outcome;
}

core::result<std::vector<task_report>> http_task_runtime::tasks()
{
    auto const outcome = get(client_, service_, "/tasks");
    if (!core::is_ok(outcome))
        return core::failure(outcome);
    auto const& response = core::value(outcome);
    if (response.status != 200)
        return unexpected_status(to_result_code(response.status),
                                 "listing tasks", response);
    SEQUOIA_TRY_INTO(auto const document, core::parse_json(response.body));
    auto const task_list = document.find("tasks");
    if (task_list == document.end())
        return core::error{core::result_code::internal_error,
                           "the response of the runtime has no tasks"};
    return core::message_from<std::vector<task_report>>(*task_list);
}

} // namespace sequoiaroute::platform
