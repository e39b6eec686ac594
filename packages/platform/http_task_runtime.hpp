#pragma once

#include "platform/json_exchange.hpp"
#include "platform/task_runtime.hpp"

namespace sequoiaroute::platform {

/// The task runtime of one worker, reached by HTTP. Errors are unreachable if
/// the command certainly had no effect, timed_out if it may have had one, and
/// not_found for a task that the runtime does not know.
class http_task_runtime final : public task_runtime
{
public:
    /// @param client the client, which must outlive this object
    /// @param service the runtime
    http_task_runtime(http::http_client& client, service_endpoint service);

    core::status start(task_specification const& task) override;
    core::status renew(std::string_view task_id, core::duration lease) override;
    core::status checkpoint(std::string_view task_id) override;
    core::status throttle(std::string_view task_id, int percent) override;
    core::status stop(std::string_view task_id) override;
    core::result<std::vector<task_report>> tasks() override;

private:
    core::status command(std::string_view path, core::json const& document);

    http::http_client& client_;
    service_endpoint service_;
};

} // namespace sequoiaroute::platform
