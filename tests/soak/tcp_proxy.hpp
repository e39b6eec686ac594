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

/// Passes TCP connections on, and disturbs them from outside.
class tcp_proxy
{
public:
    /// @param loop serves the sockets
    /// @param from IP:PORT on which it listens
    /// @param to IP:PORT to which it connects
    static core::result<std::unique_ptr<tcp_proxy>>
    create(event::event_loop& loop, std::string const& from, std::string to);

    ~tcp_proxy();

    /// Resets all connections; new ones work.
    void reset();

    /// Lets all connections that are open now go silent for good; new ones
    /// work.
    void silence();

    /// Loses what is sent from now on, in one direction or both, until both are
    /// false. New connections are accepted and suffer likewise.
    void cut(bool is_to_server_cut, bool is_to_client_cut);

    /// Holds bytes back for a while; 0 passes them on at once.
    void delay(core::duration time) { delay_ = time; }

private:
    struct link;

    tcp_proxy(event::event_loop& loop, std::string to);
    void accept(int descriptor);
    void pass(link& from, bool is_to_server);
    void close(link* ended);

    event::event_loop& loop_;
    std::string to_;
    evconnlistener* listener_ = nullptr;
    std::list<std::unique_ptr<link>> links_;
    bool is_to_server_cut_ = false;
    bool is_to_client_cut_ = false;
    core::duration delay_{0};
};

} // namespace sequoiaroute::soak
