#pragma once

#include "core/result.hpp"
#include "event/event_loop.hpp"

#include <cstddef>
#include <list>
#include <memory>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace sequoiaroute::soak {

/// Forwards TCP connections to a server, and can inject network faults.
class tcp_proxy
{
public:
    /// @param loop serves the sockets
    /// @param listen_address IP:PORT on which it listens
    /// @param server_address IP:PORT of the server
    /// @return the proxy, or internal_error if it cannot listen
    static core::result<std::unique_ptr<tcp_proxy>>
    create(event::event_loop& loop, std::string const& listen_address,
           std::string server_address);

    ~tcp_proxy();

    /// Resets all connections (TCP RST). New ones are not affected.
    void reset_connections();

    /// Drops all further data of the present connections without closing them.
    /// New ones are not affected.
    void stall_connections();

    /// Sets in which directions data is dropped, on present and new
    /// connections. Connections are still accepted. When a direction is
    /// forwarded again, all connections are reset, since data is missing.
    void drop_data(bool drops_to_server, bool drops_to_client);

    /// Delays data in both directions; 0 forwards it at once.
    void set_delay(core::duration delay) { delay_ = delay; }

private:
    struct connection;

    tcp_proxy(event::event_loop& loop, std::string server_address);
    void accept(int descriptor);
    /// Forwards the received data of one side to the other.
    void forward(connection& source, bool is_to_server);
    /// Closes a connection after one side has closed and the data that was
    /// written to the other side has been sent.
    void close(connection* ended);

    event::event_loop& loop_;
    std::string server_address_;
    evconnlistener* listener_ = nullptr;
    std::list<std::unique_ptr<connection>> connections_;
    bool drops_to_server_ = false;
    bool drops_to_client_ = false;
    core::duration delay_{0};
};

} // namespace sequoiaroute::soak
