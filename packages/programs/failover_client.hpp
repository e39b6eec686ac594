#pragma once

#include "core/codec.hpp"
#include "core/result.hpp"
#include "http/http_client.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::programs {

/// Sends requests to one entry after another until an entry handles them.
class failover_client
{
public:
    /// @param client the HTTP client; must outlive this object
    /// @param addresses IP:PORT of the entries, tried in this order
    /// @param key the key of the customer or operator; empty to send none
    failover_client(http::http_client& client,
                    std::vector<std::string> addresses, std::string key);

    /// Sends an idempotent request. The next entry is tried if an entry is
    /// unreachable, does not answer completely in time, or cannot serve now.
    /// @param request the request without credentials
    /// @param time_limit the limit for each entry, in milliseconds
    /// @return the first response with a status below 400; otherwise the error
    ///         of the last entry that was tried, or bad_request without entries
    core::result<http::http_response> send(http::http_request request,
                                           core::duration time_limit);

    /// Sends an idempotent request without a body.
    /// @param method the HTTP method
    /// @param path the path of the resource
    /// @return the response body parsed as JSON, or an error as from send()
    core::result<core::json> query(std::string_view method, std::string path);

private:
    http::http_client& client_;
    std::vector<std::string> addresses_;
    std::string key_;
};

/// Reads a key file.
/// @param path the file; empty for no key
/// @return the first word of the file, empty if there is none, or bad_request
///         if the file cannot be read
core::result<std::string> read_key(std::string const& path);

/// @param path the file
/// @return its content, or bad_request if it cannot be read
core::result<std::string> read_file(std::string const& path);

} // namespace sequoiaroute::programs
