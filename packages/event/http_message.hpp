#pragma once

#include "core/clock.hpp"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace sequoiaroute::event {

/// Names and values of headers.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// A request that a server has received completely.
struct http_request
{
    std::string method;
    std::string path; ///< without the query string
    std::string query;
    std::string host;          ///< without the port
    std::string authorization; ///< the Authorization header
    /// The headers of http_limits::kept_headers; empty values if they were not
    /// sent.
    http_headers headers;
    std::string body;
    /// How long the client waits for the response, by its
    /// http_limits::time_limit_header; 0 if that is absent.
    core::duration time_limit{0};
};

/// A response to a request.
struct http_response
{
    int status = 200;
    http_headers headers;
    std::string body;
    std::string content_type = "application/json";
};

/// Sends the response to a request; calls after the first have no effect.
using http_responder = std::function<void(http_response)>;

/// Limits of the requests of a server, and the headers that are passed on.
struct http_limits
{
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 4'194'304;
    /// A connection is closed after this time without traffic.
    core::duration idle_timeout{60'000};
    /// The header in which clients send how long they wait, in ms.
    std::string time_limit_header;
    /// Further headers that are copied to http_request::headers.
    std::vector<std::string> kept_headers;
};

/// Encodes a response as HTTP/1.1.
/// @param response the response
/// @param has_body false for the response to a HEAD request, of which only the
///        head is sent
/// @param is_last whether the connection is closed after it
std::string encode(http_response const& response, bool has_body, bool is_last);

} // namespace sequoiaroute::event
