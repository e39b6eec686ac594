#pragma once

#include "core/clock.hpp"
#include "core/codec.hpp"
#include "core/result.hpp"
#include "http/http_client.hpp"

#include <string>
#include <string_view>

namespace sequoiaroute::platform {

/// The address of a service of the platform, and the timeout of calls to it.
struct service_endpoint
{
    std::string address;              ///< IP:PORT
    core::duration time_limit{2'000}; ///< for each call
};

/// Sends a POST request with a JSON body to a service of the platform.
/// @param client sends the request
/// @param service the service
/// @param path the path of the request
/// @param document the body
/// @return the response with any status, or the error of the client
core::result<http::http_response> post_json(http::http_client& client,
                                            service_endpoint const& service,
                                            std::string_view path,
                                            core::json const& document);

/// Sends a GET request to a service of the platform.
/// @param client sends the request
/// @param service the service
/// @param path the path of the request
/// @param query the query parameters
/// @return the response with any status, or the error of the client
core::result<http::http_response>
get(http::http_client& client, service_endpoint const& service,
    std::string_view path,
    std::map<std::string, std::string, std::less<>> query = {});

/// Makes the error for a response with an unexpected status.
/// @param code the code of the error
/// @param operation the operation that failed; the message starts with it
/// @param response the response
core::error unexpected_status(core::result_code code,
                              std::string_view operation,
                              http::http_response const& response);

} // namespace sequoiaroute::platform
