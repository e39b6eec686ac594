#pragma once

#include "core/result.hpp"
#include "event/event_loop.hpp"
#include "event/http_client.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct evhttp;
struct evhttp_request;

namespace sequoiaroute::event {

/// A request that a server has received completely.
struct http_request
{
    std::string method;
    std::string path; ///< without the query string
    std::string query;
    std::string host;          ///< without the port
    std::string authorization; ///< the Authorization header
    /// The headers of limits::kept_headers; empty values if they were not sent.
    http_headers headers;
    std::string body;
    /// How long the client waits for the response, by its
    /// limits::time_limit_header; 0 if that is absent.
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

/// An HTTP server that listens on one address and is run by an event loop.
class http_server
{
public:
    /// Handles a request; it may call the responder later.
    using handler = std::function<void(http_request, http_responder)>;

    /// Limits of requests, and the headers that are passed on.
    struct limits
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

    /// Listens on an address.
    /// @param loop handles the sockets; must outlive the server
    /// @param address IP:PORT
    /// @param request_limits the limits of requests
    /// @param request_handler called with each request
    /// @return the server, or internal_error if it cannot listen on the address
    static core::result<std::unique_ptr<http_server>>
    create(event_loop& loop, std::string const& address, limits request_limits,
           handler request_handler);

    ~http_server();

    /// @return the number of requests that have no response yet
    std::size_t open_requests() const { return *open_requests_; }

    /// Adds "Connection: close" to all further responses.
    void close_connections_after_responses() { *is_closing_ = true; }

private:
    http_server(evhttp* server, limits request_limits, handler request_handler);
    static void on_request(evhttp_request* request, void* self);

    evhttp* server_;
    limits limits_;
    handler handler_;
    std::shared_ptr<std::size_t> open_requests_;
    std::shared_ptr<bool> is_closing_;
};

} // namespace sequoiaroute::event
