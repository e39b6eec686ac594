#include "soak/tcp_proxy.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <sys/socket.h>

namespace sequoiaroute::soak {

namespace {

/// @param address IP:PORT
/// @param length receives the length of the result
sockaddr_storage to_socket_address(std::string const& address, int& length)
{
    sockaddr_storage parsed{};
    length = sizeof(parsed);
    evutil_parse_sockaddr_port(address.c_str(),
                               reinterpret_cast<sockaddr*>(&parsed), &length);
    return parsed;
}

/// Makes the later close of a socket send a reset.
void reset_connection(bufferevent* side)
{
    linger const abortive_close{1, 0};
    ::setsockopt(bufferevent_getfd(side), SOL_SOCKET, SO_LINGER,
                 &abortive_close, sizeof(abortive_close));
}

} // namespace

/// A connection from a client, and the one to the server on its behalf.
struct tcp_proxy::connection
{
    connection(tcp_proxy& proxy, bufferevent* client_side,
               bufferevent* server_side)
        : owner(proxy), client(client_side), server(server_side)
    {
    }
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;
    ~connection()
    {
        bufferevent_free(client);
        bufferevent_free(server);
    }

    tcp_proxy& owner;
    bufferevent* client;
    bufferevent* server;
    bool is_stalled = false; ///< drops all data
    std::list<std::unique_ptr<event::timer>> delayed_writes;
};

core::result<std::unique_ptr<tcp_proxy>>
tcp_proxy::create(event::event_loop& loop, std::string const& listen_address,
                  std::string server_address)
{
    std::unique_ptr<tcp_proxy> self(
        new tcp_proxy(loop, std::move(server_address)));
    int length = 0;
    auto const address = to_socket_address(listen_address, length);
    self->listener_ = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
           void* proxy) { static_cast<tcp_proxy*>(proxy)->accept(descriptor); },
        self.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<sockaddr const*>(&address), length);
    if (self->listener_ == nullptr) {
        return core::error{core::result_code::internal_error,
                           "the proxy cannot listen on " + listen_address};
    }
    return self;
}

tcp_proxy::tcp_proxy(event::event_loop& loop, std::string server_address)
    : loop_(loop), server_address_(std::move(server_address))
{
}

tcp_proxy::~tcp_proxy()
{
    connections_.clear();
    if (listener_ != nullptr)
        evconnlistener_free(listener_);
}

void tcp_proxy::accept(int descriptor)
{
    auto* const client =
        bufferevent_socket_new(loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
    auto* const server =
        bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    connections_.push_back(std::make_unique<connection>(*this, client, server));
    auto* const added = connections_.back().get();
    auto const on_event = [](bufferevent*, short events, void* argument) {
        auto* const ended = static_cast<connection*>(argument);
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
            ended->owner.close(ended);
    };
    bufferevent_setcb(
        client,
        [](bufferevent*, void* argument) {
            auto* const source = static_cast<connection*>(argument);
            source->owner.forward(*source, true);
        },
        nullptr, on_event, added);
    bufferevent_setcb(
        server,
        [](bufferevent*, void* argument) {
            auto* const source = static_cast<connection*>(argument);
            source->owner.forward(*source, false);
        },
        nullptr, on_event, added);
    bufferevent_enable(client, EV_READ | EV_WRITE);
    bufferevent_enable(server, EV_READ | EV_WRITE);
    int length = 0;
    auto const address = to_socket_address(server_address_, length);
    bufferevent_socket_connect(
        server, reinterpret_cast<sockaddr const*>(&address), length);
}

void tcp_proxy::forward(connection& source, bool is_to_server)
{
    auto* const input =
        bufferevent_get_input(is_to_server ? source.client : source.server);
    auto* const target = is_to_server ? source.server : source.client;
    bool const is_dropped =
        source.is_stalled ||
        (is_to_server ? drops_to_server_ : drops_to_client_);
    if (is_dropped) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    if (delay_ == core::duration(0) && source.delayed_writes.empty()) {
        bufferevent_write_buffer(target, input);
        return;
    }
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    source.delayed_writes.push_back(
        loop_.after(delay_, [&source, target, bytes] {
            bufferevent_write(target, bytes.data(), bytes.size());
            // Delayed writes of a connection fire in order, so this is the
            // first.
            source.delayed_writes.pop_front();
        }));
}

void tcp_proxy::close(connection* ended)
{
    auto const has_pending_output = [](bufferevent* side) {
        return evbuffer_get_length(bufferevent_get_output(side)) > 0;
    };
    if (!has_pending_output(ended->client) &&
        !has_pending_output(ended->server)) {
        connections_.remove_if(
            [&](auto const& entry) { return entry.get() == ended; });
        return;
    }
    // A peer may have responded and closed at once: send its response first.
    auto const on_written = [](bufferevent*, void* argument) {
        auto* const written = static_cast<connection*>(argument);
        written->owner.close(written);
    };
    auto const on_event = [](bufferevent*, short, void* argument) {
        auto* const failed = static_cast<connection*>(argument);
        auto& owner = failed->owner;
        owner.connections_.remove_if(
            [&](auto const& entry) { return entry.get() == failed; });
    };
    bufferevent_setcb(ended->client, nullptr, on_written, on_event, ended);
    bufferevent_setcb(ended->server, nullptr, on_written, on_event, ended);
}

void tcp_proxy::reset_connections()
{
    for (auto const& entry : connections_) {
        reset_connection(entry->client);
        reset_connection(entry->server);
    }
    connections_.clear();
}

void tcp_proxy::stall_connections()
{
    for (auto const& entry : connections_)
        entry->is_stalled = true;
}

void tcp_proxy::drop_data(bool drops_to_server, bool drops_to_client)
{
    bool const is_resuming = (drops_to_server_ && !drops_to_server) ||
                             (drops_to_client_ && !drops_to_client);
    drops_to_server_ = drops_to_server;
    drops_to_client_ = drops_to_client;
    // Connections that lost data cannot continue.
    if (is_resuming)
        reset_connections();
}

} // namespace sequoiaroute::soak
