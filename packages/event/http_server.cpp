#include "event/http_server.hpp"

#include "core/address.hpp"
#include "core/event_log.hpp"

#include <event2/listener.h>

#include <arpa/inet.h>
#include <cstring>
#include <exception>
#include <optional>

#include <fmt/format.h>

namespace sequoiaroute::event {

namespace {

constexpr int listen_backlog = 512;
/// The time without new connections after one could not be accepted, as when no
/// descriptor is left.
constexpr core::duration accept_pause{100};
/// The kernel holds twice as much for each direction of a connection. It would
/// otherwise hold megabytes of what a client sends ahead or does not read.
constexpr int socket_buffer_bytes = 32'768;

std::optional<sockaddr_in> to_sockaddr(std::string const& address)
{
    auto const parsed = core::parse_address(address);
    if (!parsed)
        return std::nullopt;
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(parsed->port);
    inet_pton(AF_INET, parsed->host.c_str(), &result.sin_addr);
    return result;
}

} // namespace

core::result<std::unique_ptr<http_server>>
http_server::create(event_loop& loop, connection_pool& pool,
                    std::string const& address, limits request_limits,
                    handler request_handler)
{
    std::unique_ptr<http_server> server(new http_server(
        loop, pool, std::move(request_limits), std::move(request_handler)));
    SEQUOIA_TRY(server->listen(address));
    return server;
}

http_server::http_server(event_loop& loop, connection_pool& pool,
                         limits request_limits, handler request_handler)
    : loop_(loop), pool_(pool), limits_(std::move(request_limits)),
      handler_(std::move(request_handler)),
      open_requests_(std::make_shared<std::size_t>(0))
{
}

http_server::~http_server()
{
    if (listener_ != nullptr)
        evconnlistener_free(listener_);
}

core::status http_server::listen(std::string const& address)
{
    auto const listen_error = [&](std::string_view reason) {
        return core::error{
            core::result_code::internal_error,
            fmt::format("cannot listen on {}: {}", address, reason)};
    };
    auto const parsed = to_sockaddr(address);
    if (!parsed)
        return listen_error("not an address of the form IP:PORT");
    sockaddr generic_address{};
    std::memcpy(&generic_address, &*parsed, sizeof(generic_address));
    listener_ = evconnlistener_new_bind(
        loop_.base(),
        [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
           void* self) { static_cast<http_server*>(self)->accept(descriptor); },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        listen_backlog, &generic_address, sizeof(generic_address));
    if (listener_ == nullptr)
        return listen_error(std::strerror(errno));
    // Accepted sockets inherit the sizes.
    auto const descriptor = evconnlistener_get_fd(listener_);
    for (int const option : {SO_RCVBUF, SO_SNDBUF}) {
        setsockopt(descriptor, SOL_SOCKET, option, &socket_buffer_bytes,
                   sizeof(socket_buffer_bytes));
    }
    evconnlistener_set_error_cb(listener_, [](evconnlistener*, void* self) {
        static_cast<http_server*>(self)->pause();
    });
    return core::success();
}

void http_server::accept(int descriptor)
{
    auto connection = http_connection::create(loop_, pool_, descriptor, limits_,
                                              *this, open_requests_);
    if (connection == nullptr)
        return;
    auto* const key = connection.get();
    connections_.emplace(key, std::move(connection));
}

void http_server::pause()
{
    evconnlistener_disable(listener_);
    pause_timer_ =
        loop_.after(accept_pause, [this] { evconnlistener_enable(listener_); });
}

void http_server::remove(http_connection& closed)
{
    connections_.erase(&closed);
}

void http_server::handle(http_request request, http_responder respond)
{
    try {
        handler_(std::move(request), respond);
    } catch (std::exception const& exception) {
        // An unexpected error costs this request only. It may have taken
        // effect, which is what this status says.
        constexpr int bad_gateway = 502;
        core::log_event("request_failed",
                        {{"fault", std::string(exception.what())}});
        respond({bad_gateway, {}, "{}", "application/json"});
    }
}

} // namespace sequoiaroute::event
