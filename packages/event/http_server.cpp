#include "event/http_server.hpp"

#include "core/address.hpp"
#include "core/event_log.hpp"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <charconv>
#include <cstring>
#include <exception>

#include <fmt/format.h>

namespace sequoiaroute::event {

namespace {

constexpr int listen_backlog = 512;

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

/// @return the value of a header, empty if it is absent
std::string header_value(evhttp_request* request, char const* name)
{
    auto const* const text =
        evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return text == nullptr ? std::string() : std::string(text);
}

/// Parses a number of milliseconds.
/// @return the time limit; 0 if the text is not a number
core::duration parse_time_limit(std::string const& text)
{
    std::int64_t milliseconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    return core::duration(milliseconds);
}

http_request read_request(evhttp_request* received,
                          http_server::limits const& limits)
{
    http_request request;
    request.method = method_name(evhttp_request_get_command(received));
    std::string const uri = evhttp_request_get_uri(received);
    auto const query_mark = uri.find('?');
    request.path = uri.substr(0, query_mark);
    if (query_mark != std::string::npos)
        request.query = uri.substr(query_mark + 1);
    for (auto const& name : limits.kept_headers)
        request.headers.emplace_back(name,
                                     header_value(received, name.c_str()));
    auto const host = header_value(received, "Host");
    request.host = host.substr(0, host.find(':'));
    request.authorization = header_value(received, "Authorization");
    if (!limits.time_limit_header.empty()) {
        request.time_limit = parse_time_limit(
            header_value(received, limits.time_limit_header.c_str()));
    }
    auto* const buffer = evhttp_request_get_input_buffer(received);
    request.body.resize(evbuffer_get_length(buffer));
    evbuffer_remove(buffer, request.body.data(), request.body.size());
    return request;
}

void send_response(evhttp_request* request, http_response const& response,
                   bool is_closing)
{
    auto* const headers = evhttp_request_get_output_headers(request);
    for (auto const& [name, text] : response.headers)
        evhttp_add_header(headers, name.c_str(), text.c_str());
    if (!response.body.empty()) {
        evhttp_add_header(headers, "Content-Type",
                          response.content_type.c_str());
    }
    if (is_closing)
        evhttp_add_header(headers, "Connection", "close");
    auto* const body = evbuffer_new();
    evbuffer_add(body, response.body.data(), response.body.size());
    evhttp_send_reply(request, response.status, nullptr, body);
    evbuffer_free(body);
}

} // namespace

core::result<std::unique_ptr<http_server>>
http_server::create(event_loop& loop, std::string const& address,
                    limits request_limits, handler request_handler)
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
    auto* const listener = evconnlistener_new_bind(
        loop.base(), nullptr, nullptr,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        listen_backlog, &generic_address, sizeof(generic_address));
    if (listener == nullptr)
        return listen_error(std::strerror(errno));
    auto* const server = evhttp_new(loop.base());
    if (server == nullptr) {
        evconnlistener_free(listener);
        return listen_error("no memory left");
    }
    evhttp_bind_listener(server, listener);
    return std::unique_ptr<http_server>(new http_server(
        server, std::move(request_limits), std::move(request_handler)));
}

http_server::http_server(evhttp* server, limits request_limits,
                         handler request_handler)
    : server_(server), limits_(std::move(request_limits)),
      handler_(std::move(request_handler)),
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
    auto const idle_milliseconds = limits_.idle_timeout.count();
    timeval const idle_timeout{idle_milliseconds / 1000,
                               (idle_milliseconds % 1000) * 1000};
    evhttp_set_timeout_tv(server_, &idle_timeout);
    evhttp_set_gencb(server_, &http_server::on_request, this);
}

http_server::~http_server()
{
    evhttp_free(server_);
}

void http_server::on_request(evhttp_request* request, void* self)
{
    auto& server = *static_cast<http_server*>(self);
    auto parsed = read_request(request, server.limits_);
    ++*server.open_requests_;
    auto const is_answered = std::make_shared<bool>(false);
    http_responder const respond =
        [request, is_answered, open_requests = server.open_requests_,
         is_closing = server.is_closing_](http_response const& response) {
            if (std::exchange(*is_answered, true))
                return;
            --*open_requests;
            send_response(request, response, *is_closing);
        };
    try {
        server.handler_(std::move(parsed), respond);
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
