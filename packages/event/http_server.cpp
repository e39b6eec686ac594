#include "event/http_server.hpp"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <charconv>
#include <cstring>

#include <fmt/format.h>

namespace sequoiaroute::event {

namespace {

constexpr int listen_backlog = 512;

std::optional<sockaddr_in> parse_address(std::string const& address)
{
    auto const colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    sockaddr_in result{};
    result.sin_family = AF_INET;
    std::uint16_t port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(),
                    port);
    result.sin_port = htons(port);
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(),
                  &result.sin_addr) != 1)
        return std::nullopt;
    return result;
}

std::string method_name(evhttp_cmd_type command)
{
    switch (command) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    default:
        return "OTHER";
    }
}

std::string header(evhttp_request* request, char const* name)
{
    auto const* const text =
        evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return text == nullptr ? std::string() : std::string(text);
}

core::duration parse_time_limit(std::string const& text)
{
    std::int64_t milliseconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    return core::duration(milliseconds);
}

http_request to_request(evhttp_request* source,
                        http_server::limits const& limits)
{
    http_request request;
    request.method = method_name(evhttp_request_get_command(source));
    std::string const uri = evhttp_request_get_uri(source);
    auto const mark = uri.find('?');
    request.path = uri.substr(0, mark);
    if (mark != std::string::npos)
        request.query = uri.substr(mark + 1);
    for (auto const& name : limits.kept_headers)
        request.headers.emplace_back(name, header(source, name.c_str()));
    auto const host = header(source, "Host");
    request.host = host.substr(0, host.find(':'));
    request.authorization = header(source, "Authorization");
    if (!limits.time_limit_header.empty()) {
        request.time_limit =
            parse_time_limit(header(source, limits.time_limit_header.c_str()));
    }
    auto* const buffer = evhttp_request_get_input_buffer(source);
    request.body.resize(evbuffer_get_length(buffer));
    evbuffer_remove(buffer, request.body.data(), request.body.size());
    return request;
}

void send(evhttp_request* target, http_response const& answer, bool is_closing)
{
    auto* const headers = evhttp_request_get_output_headers(target);
    for (auto const& [name, text] : answer.headers)
        evhttp_add_header(headers, name.c_str(), text.c_str());
    if (!answer.body.empty()) {
        evhttp_add_header(headers, "Content-Type", answer.content_type.c_str());
    }
    if (is_closing)
        evhttp_add_header(headers, "Connection", "close");
    auto* const body = evbuffer_new();
    evbuffer_add(body, answer.body.data(), answer.body.size());
    evhttp_send_reply(target, answer.status, nullptr, body);
    evbuffer_free(body);
}

} // namespace

core::result<std::unique_ptr<http_server>>
http_server::create(event_loop& loop, std::string const& address, limits bounds,
                    handler handle)
{
    auto const fail = [&](std::string_view reason) {
        return core::error{
            core::result_code::internal_error,
            fmt::format("cannot listen on {}: {}", address, reason)};
    };
    auto const parsed = parse_address(address);
    if (!parsed)
        return fail("not an address IP:PORT");
    sockaddr generic{};
    std::memcpy(&generic, &*parsed, sizeof(generic));
    auto* const listener = evconnlistener_new_bind(
        loop.base(), nullptr, nullptr,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        listen_backlog, &generic, sizeof(generic));
    if (listener == nullptr)
        return fail(std::strerror(errno));
    auto* const server = evhttp_new(loop.base());
    if (server == nullptr) {
        evconnlistener_free(listener);
        return fail("no memory");
    }
    evhttp_bind_listener(server, listener);
    return std::unique_ptr<http_server>(
        new http_server(server, std::move(bounds), std::move(handle)));
}

http_server::http_server(evhttp* server, limits bounds, handler handle)
    : server_(server), limits_(std::move(bounds)), handle_(std::move(handle)),
      open_requests_(std::make_shared<std::size_t>(0)),
      is_closing_(std::make_shared<bool>(false))
{
    evhttp_set_allowed_methods(server_, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                            EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                            EVHTTP_REQ_HEAD);
    evhttp_set_max_headers_size(
        server_, static_cast<std::int64_t>(limits_.header_bytes));
    evhttp_set_max_body_size(server_,
                             static_cast<std::int64_t>(limits_.body_bytes));
    auto const idle = limits_.idle_time.count();
    timeval const idle_time{idle / 1000, (idle % 1000) * 1000};
    evhttp_set_timeout_tv(server_, &idle_time);
    evhttp_set_gencb(server_, &http_server::on_request, this);
}

http_server::~http_server()
{
    evhttp_free(server_);
}

void http_server::on_request(evhttp_request* request, void* self)
{
    auto& server = *static_cast<http_server*>(self);
    auto parsed = to_request(request, server.limits_);
    ++*server.open_requests_;
    auto const is_answered = std::make_shared<bool>(false);
    server.handle_(std::move(parsed),
                   [request, is_answered, open = server.open_requests_,
                    closing = server.is_closing_](http_response const& answer) {
                       if (std::exchange(*is_answered, true))
                           return;
                       --*open;
                       send(request, answer, *closing);
                   });
}

} // namespace sequoiaroute::event
