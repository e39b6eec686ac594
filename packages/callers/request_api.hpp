#pragma once

#include "callers/customer_keys.hpp"
#include "callers/request_service.hpp"
#include "http/http_server.hpp"

#include <cstddef>

namespace sequoiaroute::callers {

/// The HTTP API for urgent requests. Customers authenticate with their key.
///     POST /v1/requests     runs a request and returns its answer
///     GET  /v1/requests/ID  returns the answer of an earlier request
class request_api
{
public:
    /// Adds the routes to a server.
    /// @param server the server that handles the routes
    /// @param keys the keys of the customers; must outlive the server
    /// @param service runs the requests; must outlive the server
    /// @param body_limit the largest request body, in bytes; a larger one is
    ///                   refused with body_too_large
    request_api(http::http_server& server, customer_keys const& keys,
                request_service& service, std::size_t body_limit = 4'000'000);
    request_api(request_api const&) = delete;
    request_api& operator=(request_api const&) = delete;

private:
    http::http_response submit(http::http_request const& request);
    http::http_response find(http::http_request const& request);
    /// Authenticates the sender of a POST request and validates its headers.
    core::result<request_submission>
    parse_submission(http::http_request const& request);

    customer_keys const& keys_;
    request_service& service_;
    std::size_t body_limit_;
};

} // namespace sequoiaroute::callers
