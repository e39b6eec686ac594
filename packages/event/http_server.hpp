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

/// A request that a server has received in whole.
struct http_request
{
    std::string method;
    std::string path; ///< without its query
    std::string query;
    std::string host; ///< without its port
    std::string authorization;
    /// Those that the server's limits name, empty if they were not sent.
    http_headers headers;
    std::string body;
    core::duration time_limit{0}; ///< how long the caller waits; 0 if not said
};

/// An answer to a request.
struct http_response
{
    int status = 200;
    http_headers headers;
    std::string body;
    std::string content_type = "application/json";
};

/// Sends the answer to one request; calls after the first have no effect.
using http_responder = std::function<void(http_response)>;

/// Serves HTTP on one address.
class http_server
{
public:
    using handler = std::function<void(http_request, http_responder)>;

    /// Bounds of what clients may send.
    struct limits
    {
        std::size_t header_bytes = 16'384;
        std::size_t body_bytes = 4'194'304;
        core::duration idle_time{60'000};
        /// The header in which callers say how long they wait.
        std::string time_limit_header;
        /// Other headers that the handler needs.
        std::vector<std::string> kept_headers;
    };

    /// Listens on an address.
    /// @param loop serves the sockets
    /// @param address IP:PORT
    /// @param bounds what clients may send
    /// @param handle receives each request
    /// @return the server, or internal_error if the address cannot be had
    static core::result<std::unique_ptr<http_server>>
    create(event_loop& loop, std::string const& address, limits bounds,
           handler handle);

    ~http_server();

    /// @return the number of requests without an answer
    std::size_t open_requests() const { return *open_requests_; }

    /// Tells clients from now on to close their connection after an answer.
    void close_connections_after_responses() { *is_closing_ = true; }

private:
    http_server(evhttp* server, limits bounds, handler handle);
    static void on_request(evhttp_request* request, void* self);

    evhttp* server_;
    limits limits_;
    handler handle_;
    std::shared_ptr<std::size_t> open_requests_;
    std::shared_ptr<bool> is_closing_;
};

} // namespace sequoiaroute::event
