#include "platform/service_http.hpp"

#include <fmt/format.h>

namespace sequoiaroute::platform {

core::result<http::http_response> post_json(http::http_client& client,
                                            service_endpoint const& service,
                                            std::string_view path,
                                            core::json const& document)
{
    http::http_request request;
    request.method = "POST";
    request.path = path;
    request.headers["Content-Type"] = "application/json";
    request.body = document.dump();
    return client.send(service.address, request, service.time_limit);
}

core::result<http::http_response>
get(http::http_client& client, service_endpoint const& service,
    std::string_view path,
    std::map<std::string, std::string, std::less<>> query)
{
    http::http_request request;
    request.method = "GET";
    request.path = path;
    request.query = std::move(query);
    return client.send(service.address, request, service.time_limit);
}

core::error unexpected_status(core::result_code code,
                              std::string_view operation,
                              http::http_response const& response)
{
    return {code,
            fmt::format("{}: HTTP status {}", operation, response.status)};
}

} // namespace sequoiaroute::platform
