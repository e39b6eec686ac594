#pragma once

#include "core/result.hpp"
#include "event/http_connection.hpp"
#include "event/http_message.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

struct evconnlistener;

namespace sequoiaroute::event {

/// An HTTP server that listens on one address and is run by an event loop.
class http_server final : private http_connection::owner
{
public:
    /// Handles a request; it may call the responder later.
    using handler = std::function<void(http_request, http_responder)>;

    using limits = http_limits;

    /// Listens on an address.
    /// @param loop handles the sockets; must outlive the server
    /// @param pool the connections of the process; must outlive the server
    /// @param address IP:PORT
    /// @param request_limits the limits of requests
    /// @param request_handler called with each request
    /// @return the server, or internal_error if it cannot listen on the address
    static core::result<std::unique_ptr<http_server>>
    create(event_loop& loop, connection_pool& pool, std::string const& address,
           limits request_limits, handler request_handler);

    ~http_server() override;

    /// @return the number of requests whose response has not been written yet
    std::size_t open_requests() const { return *open_requests_; }

    /// Adds "Connection: close" to all further responses.
    void close_connections_after_responses() { is_closing_ = true; }

private:
    http_server(event_loop& loop, connection_pool& pool, limits request_limits,
                handler request_handler);

    void handle(http_request request, http_responder respond) override;
    bool is_closing() const override { return is_closing_; }
    void remove(http_connection& closed) override;

    core::status listen(std::string const& address);
    void accept(int descriptor);
    /// Stops to accept connections for a moment.
    void pause();

    event_loop& loop_;
    connection_pool& pool_;
    limits limits_;
    handler handler_;
    std::shared_ptr<std::size_t> open_requests_;
    bool is_closing_ = false;
    std::map<http_connection*, std::unique_ptr<http_connection>> connections_;
    evconnlistener* listener_ = nullptr;
    std::unique_ptr<timer> pause_timer_;
};

} // namespace sequoiaroute::event
