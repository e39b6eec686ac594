#include "soak/tcp_proxy.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <sys/socket.h>

namespace sequoiaroute::soak {

namespace {

sockaddr_storage to_socket_address(std::string const& address, int& length)
{
    sockaddr_storage parsed{};
    length = sizeof(parsed);
    evutil_parse_sockaddr_port(address.c_str(),
                               reinterpret_cast<sockaddr*>(&parsed), &length);
    return parsed;
}

/// Closes a socket so that its peer sees a reset.
void reset_connection(bufferevent* side)
{
    linger const at_once{1, 0};
    ::setsockopt(bufferevent_getfd(side), SOL_SOCKET, SO_LINGER, &at_once,
                 sizeof(at_once));
}

} // namespace

struct tcp_proxy::link
{
    link(tcp_proxy& proxy, bufferevent* client_side, bufferevent* server_side)
        : owner(proxy), client(client_side), server(server_side)
    {
    }
    link(link const&) = delete;
    link& operator=(link const&) = delete;
    ~link()
    {
        bufferevent_free(client);
        bufferevent_free(server);
    }

    tcp_proxy& owner;
    bufferevent* client;
    bufferevent* server;
    bool is_silent = false;
    std::list<std::unique_ptr<event::timer>> held;
};

core::result<std::unique_ptr<tcp_proxy>>
tcp_proxy::create(event::event_loop& loop, std::string const& from,
                  std::string to)
{
    std::unique_ptr<tcp_proxy> self(new tcp_proxy(loop, std::move(to)));
    int length = 0;
    auto const address = to_socket_address(from, length);
    self->listener_ = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
           void* proxy) { static_cast<tcp_proxy*>(proxy)->accept(descriptor); },
        self.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<sockaddr const*>(&address), length);
    if (self->listener_ == nullptr) {
        return core::error{core::result_code::internal_error,
                           "the proxy cannot listen on " + from};
    }
    return self;
}

tcp_proxy::tcp_proxy(event::event_loop& loop, std::string to)
    : loop_(loop), to_(std::move(to))
{
}

tcp_proxy::~tcp_proxy()
{
    links_.clear();
    if (listener_ != nullptr)
        evconnlistener_free(listener_);
}

void tcp_proxy::accept(int descriptor)
{
    auto* const client =
        bufferevent_socket_new(loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
    auto* const server =
        bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    links_.push_back(std::make_unique<link>(*this, client, server));
    auto* const added = links_.back().get();
    auto const on_event = [](bufferevent*, short what, void* argument) {
        auto* const ended = static_cast<link*>(argument);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
            ended->owner.close(ended);
    };
    bufferevent_setcb(
        client,
        [](bufferevent*, void* argument) {
            auto* const source = static_cast<link*>(argument);
            source->owner.pass(*source, true);
        },
        nullptr, on_event, added);
    bufferevent_setcb(
        server,
        [](bufferevent*, void* argument) {
            auto* const source = static_cast<link*>(argument);
            source->owner.pass(*source, false);
        },
        nullptr, on_event, added);
    bufferevent_enable(client, EV_READ | EV_WRITE);
    bufferevent_enable(server, EV_READ | EV_WRITE);
    int length = 0;
    auto const address = to_socket_address(to_, length);
    bufferevent_socket_connect(
        server, reinterpret_cast<sockaddr const*>(&address), length);
}

void tcp_proxy::pass(link& from, bool is_to_server)
{
    auto* const source =
        bufferevent_get_input(is_to_server ? from.client : from.server);
    auto* const target = is_to_server ? from.server : from.client;
    bool const is_lost = from.is_silent ||
                         (is_to_server ? is_to_server_cut_ : is_to_client_cut_);
    if (is_lost) {
        evbuffer_drain(source, evbuffer_get_length(source));
        return;
    }
    if (delay_ == core::duration(0) && from.held.empty()) {
        bufferevent_write_buffer(target, source);
        return;
    }
    std::string bytes(evbuffer_get_length(source), '\0');
    evbuffer_remove(source, bytes.data(), bytes.size());
    from.held.push_back(loop_.after(delay_, [&from, target, bytes] {
        bufferevent_write(target, bytes.data(), bytes.size());
        // Held bytes of a link leave in the order in which they came.
        from.held.pop_front();
    }));
}

void tcp_proxy::close(link* ended)
{
    auto const has_rest = [](bufferevent* side) {
        return evbuffer_get_length(bufferevent_get_output(side)) > 0;
    };
    if (!has_rest(ended->client) && !has_rest(ended->server)) {
        links_.remove_if(
            [&](auto const& entry) { return entry.get() == ended; });
        return;
    }
    // A peer may have answered and closed at once; its answer still leaves.
    auto const on_written = [](bufferevent*, void* argument) {
        auto* const written = static_cast<link*>(argument);
        written->owner.close(written);
    };
    auto const on_event = [](bufferevent*, short, void* argument) {
        auto* const failed = static_cast<link*>(argument);
        auto& owner = failed->owner;
        owner.links_.remove_if(
            [&](auto const& entry) { return entry.get() == failed; });
    };
    bufferevent_setcb(ended->client, nullptr, on_written, on_event, ended);
    bufferevent_setcb(ended->server, nullptr, on_written, on_event, ended);
}

void tcp_proxy::reset()
{
    for (auto const& entry : links_) {
        reset_connection(entry->client);
        reset_connection(entry->server);
    }
    links_.clear();
}

void tcp_proxy::silence()
{
    for (auto const& entry : links_)
        entry->is_silent = true;
}

void tcp_proxy::cut(bool is_to_server_cut, bool is_to_client_cut)
{
    bool const heals = (is_to_server_cut_ && !is_to_server_cut) ||
                       (is_to_client_cut_ && !is_to_client_cut);
    is_to_server_cut_ = is_to_server_cut;
    is_to_client_cut_ = is_to_client_cut;
    // Connections that lost bytes cannot go on.
    if (heals)
        reset();
}

} // namespace sequoiaroute::soak
