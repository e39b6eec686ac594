#pragma once

#include "core/clock.hpp"
#include "core/result.hpp"
#include "http/http_message.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sequoiaroute::http {

/// Address and limits of an HTTP server.
struct http_server_options
{
    std::string address;           ///< IP:PORT to listen on
    std::size_t thread_count = 64; ///< threads that serve requests
    /// In bytes; a request with a larger body is answered with body_too_large.
    std::size_t body_limit = 4'000'000;
    /// The time to receive the head of a request, and again to receive its
    /// body. After it the request is answered with client_too_slow. It holds no
    /// slot meanwhile, because handlers are called after receiving.
    core::duration receive_limit{10'000};
};

/// Handles a request on one of the server's threads. If it throws, the request
/// is answered with internal_error.
using http_handler = std::function<http_response(http_request const&)>;

/// An HTTP server that handles requests on several threads.
class http_server
{
public:
    virtual ~http_server() = default;

    /// Starts a server. Requests without a route are answered with 404.
    /// @param options the address and the limits
    /// @return the server, or bad_settings if it cannot listen
    static core::result<std::unique_ptr<http_server>>
    create(http_server_options const& options);

    /// Adds a handler, also while the server is running.
    /// @param method the HTTP method
    /// @param path matches this path only, or if it ends in "/" every path that
    ///        begins with it; the longest match is used
    /// @param handler replaces an earlier one of the same method and path
    virtual void route(std::string_view method, std::string_view path,
                       http_handler handler) = 0;

    /// Waits until no request is in flight. New requests are still answered,
    /// with "Connection: close".
    /// @param timeout how long to wait
    /// @return false if requests were still in flight at the timeout
    virtual bool drain(core::duration timeout) = 0;
};

} // namespace sequoiaroute::http
