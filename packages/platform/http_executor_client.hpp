#pragma once

#include "http/http_client.hpp"
#include "platform/executor_client.hpp"

#include <string>

namespace sequoiaroute::platform {

/// Calls an executor over HTTP.
class http_executor_client final : public executor_client
{
public:
    /// @param client sends the requests; must outlive this object
    /// @param address the IP:PORT of the executor
    http_executor_client(http::http_client& client, std::string address);

    core::result<std::string>
    execute(execution_request const& request) override;

private:
    http::http_client& client_;
    std::string address_;
};

} // namespace sequoiaroute::platform
