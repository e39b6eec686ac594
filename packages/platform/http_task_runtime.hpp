#pragma once

#include "platform/service_http.hpp"
#include "platform/task_runtime.hpp"

namespace sequoiaroute::platform {

/// Calls the task runtime of one worker over HTTP. Errors are unreachable if
/// the command certainly had no effect, timed_out if it may have had one, and
/// not_found if the runtime does not have the task.
class http_task_runtime final : public task_runtime
{
public:
    /// @param client sends the requests; must outlive this object
    /// @param service the address of the runtime, and the timeout
    http_task_runtime(http::http_client& client, service_endpoint service);

    core::status start(task_specification const& task) override;
    core::status renew(std::string_view task_id, core::duration lease) override;
    core::status checkpoint(std::string_view task_id) override;
    core::status throttle(std::string_view task_id, int percent) override;
    core::status stop(std::string_view task_id) override;
    core::result<std::vector<task_report>> tasks() override;

private:
    core::status send_command(std::string_view path,
                              core::json const& document);

    http::http_client& client_;
    service_endpoint service_;
};

} // namespace sequoiaroute::platform
