#pragma once

#include "core/result.hpp"

#include <map>
#include <string>
#include <string_view>

namespace sequoiaroute::http {

/// Orders header names, ignoring case.
struct header_less
{
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const;
};

/// Header values by name, of which the case is ignored.
using header_map = std::map<std::string, std::string, header_less>;

/// A complete HTTP request.
struct http_request
{
    std::string method;
    std::string path; ///< without the query string
    /// Decoded values of the query string, by name.
    std::map<std::string, std::string, std::less<>> query;
    header_map headers;
    std::string body;

    /// @param name the name of a header
    /// @return its value; empty if it is absent
    std::string_view header(std::string_view name) const;
};

/// A complete HTTP response. The server adds Content-Length if the headers lack
/// it.
struct http_response
{
    /// HTTP status; 0 makes the server close the connection without a response,
    /// which tests use to simulate a lost response.
    int status = 200;
    header_map headers;
    std::string body;
};

/// Builds the response for an error, with the JSON body {code, name, message}
/// and the code in the header Result-Code.
/// @param failure the error
/// @return the response, with the HTTP status of the error's code
http_response error_response(core::error const& failure);

} // namespace sequoiaroute::http
