#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace review {

/// A request or response of HTTP/1.1, with lower-case header names.
struct http_message
{
    std::string method; ///< of a request
    std::string path;   ///< of a request, without the query
    std::string query;  ///< of a request, decoded only by query_value()
    int status = 0;     ///< of a response; 0 if there was none
    std::map<std::string, std::string> headers;
    std::string body;
};

using http_handler = std::function<http_message(http_message const&)>;

/// @return a response with a JSON body
http_message json_response(int status, std::string body);

/// @return the decoded value of a query parameter; empty if it is absent
std::string query_value(std::string const& query, std::string const& name);

/// @return whether IP:PORT is free to listen on
bool can_listen(std::string const& ip, std::uint16_t port);

/// Serves requests on IP:PORT until the process ends, with a thread for each
/// connection.
void serve_http(std::string const& ip, std::uint16_t port,
                http_handler handler);

/// Sends one request on a connection of its own.
/// @return the response; its status is 0 if none arrived within the time limit
http_message call_http(std::string const& ip, std::uint16_t port,
                       http_message const& request, int time_limit_ms);

} // namespace review
