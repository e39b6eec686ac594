#include "http/civetweb_server.hpp"

#include "core/log.hpp"
#include "http/civetweb_client.hpp"
#include "http/civetweb_library.hpp"

#include <array>
#include <exception>
#include <thread>
#include <vector>

#include <absl/strings/str_split.h>
#include <civetweb.h>
#include <fmt/format.h>

namespace sequoiaroute::http {

namespace {

constexpr std::size_t read_buffer_bytes = 65'536;
/// How often the destructor wakes CivetWeb's listening thread.
constexpr core::duration wake_interval{20};
constexpr char const* listen_backlog = "1024";

/// Decodes a name or a value of a query string, where + stands for a space.
std::string decode_component(std::string_view text)
{
    std::string decoded(text.size() + 1, '\0');
    int const length =
        mg_url_decode(text.data(), static_cast<int>(text.size()),
                      decoded.data(), static_cast<int>(decoded.size()), 1);
    decoded.resize(length < 0 ? 0 : static_cast<std::size_t>(length));
    return decoded;
}

/// @return the request line and the headers, without the body
http_request read_head(mg_connection const* connection)
{
    auto const* const information = mg_get_request_info(connection);
    http_request request;
    request.method = information->request_method;
    request.path = information->local_uri;
    for (int index = 0; index < information->num_headers; ++index) {
        auto const& header = information->http_headers[index];
        request.headers[header.name] = header.value;
    }
    if (information->query_string == nullptr)
        return request;
    for (auto const pair :
         absl::StrSplit(information->query_string, '&', absl::SkipEmpty())) {
        std::pair<std::string, std::string> const parts =
            absl::StrSplit(pair, absl::MaxSplits('=', 1));
        request.query[decode_component(parts.first)] =
            decode_component(parts.second);
    }
    return request;
}

void write_response(mg_connection* connection, http_response const& response)
{
    auto head =
        fmt::format("HTTP/1.1 {} {}\r\n", response.status,
                    mg_get_response_code_text(connection, response.status));
    for (auto const& [name, text] : response.headers)
        head += fmt::format("{}: {}\r\n", name, text);
    if (!response.headers.contains("Content-Length"))
        head += fmt::format("Content-Length: {}\r\n", response.body.size());
    head += "Connection: close\r\n\r\n";
    head += response.body;
    mg_write(connection, head.data(), head.size());
}

int log_civetweb_message(mg_connection const*, char const* message)
{
    core::log(core::log_level::debug, "HTTP library message",
              {{"text", message}});
    return 1;
}

/// When the connection of this thread was accepted, which is the start of the
/// receive limit of the head. CivetWeb calls all callbacks of a connection on
/// the thread that serves it.
thread_local core::time_point connected_at;

int record_connect_time(mg_connection const*, void**)
{
    connected_at = core::system_clock().now();
    return 0;
}

} // namespace

civetweb_server::civetweb_server(http_server_options options)
    : options_(std::move(options))
{
}

civetweb_server::~civetweb_server()
{
    if (context_ == nullptr)
        return;
    // CivetWeb's listening thread checks for a stop only when it wakes up,
    // which takes up to 2 s. A connection to the server's own address wakes it
    // at once.
    std::jthread const waker([this](std::stop_token const& stopped) {
        http_request const wake_request{"GET", "/", {}, {}, ""};
        while (!stopped.stop_requested()) {
            std::this_thread::sleep_for(wake_interval);
            civetweb_client().send(options_.address, wake_request,
                                   wake_interval);
        }
    });
    mg_stop(context_);
}

core::status civetweb_server::start()
{
    initialise_civetweb();
    auto const threads = std::to_string(options_.thread_count);
    auto const timeout = std::to_string(options_.receive_limit.count());
    std::array const civetweb_options{"listening_ports",
                                      options_.address.c_str(),
                                      "num_threads",
                                      threads.c_str(),
                                      "request_timeout_ms",
                                      timeout.c_str(),
                                      "listen_backlog",
                                      listen_backlog,
                                      "tcp_nodelay",
                                      "1",
                                      "enable_keep_alive",
                                      "no",
                                      static_cast<char const*>(nullptr)};
    mg_callbacks callbacks{};
    callbacks.begin_request = &civetweb_server::handle;
    callbacks.http_error = &civetweb_server::handle_error;
    callbacks.init_connection = &record_connect_time;
    callbacks.log_message = &log_civetweb_message;
    context_ = mg_start(&callbacks, this,
                        const_cast<char const**>(civetweb_options.data()));
    if (context_ == nullptr)
        return core::error{
            core::result_code::bad_settings,
            fmt::format("cannot listen on {}", options_.address)};
    return core::success();
}

void civetweb_server::route(std::string_view method, std::string_view path,
                            http_handler handler)
{
    std::unique_lock const lock(routes_mutex_);
    routes_[std::string(method)][std::string(path)] = std::move(handler);
}

bool civetweb_server::drain(core::duration timeout)
{
    std::unique_lock lock(mutex_);
    return no_requests_in_flight_.wait_for(
        lock, timeout, [this] { return requests_in_flight_ == 0; });
}

int civetweb_server::handle(mg_connection* connection)
{
    auto* const server =
        static_cast<civetweb_server*>(mg_get_user_context_data(connection));
    {
        std::lock_guard const lock(server->mutex_);
        ++server->requests_in_flight_;
    }
    auto const response = server->respond(connection);
    if (response.status != 0)
        write_response(connection, response);
    std::lock_guard const lock(server->mutex_);
    if (--server->requests_in_flight_ == 0)
        server->no_requests_in_flight_.notify_all();
    // For CivetWeb, 0 would mean that the request has not been handled.
    return response.status == 0 ? 500 : response.status;
}

int civetweb_server::handle_error(mg_connection* connection, int status,
                                  char const* message)
{
    auto const* const server = static_cast<civetweb_server const*>(
        mg_get_user_context_data(connection));
    core::error failure{core::result_code::bad_request,
                        message == nullptr ? "" : message};
    // CivetWeb reports a head that was not received in time as malformed.
    if (server->clock_.now() - connected_at >= server->options_.receive_limit)
        failure = {core::result_code::client_too_slow,
                   "the request head was not received in time"};
    else if (status == 413)
        failure.code = core::result_code::body_too_large;
    write_response(connection, error_response(failure));
    return 0;
}

http_response civetweb_server::respond(mg_connection* connection)
{
    try {
        auto request = read_head(connection);
        if (auto const body_status = receive_body(connection, request.body);
            !core::is_ok(body_status))
            return error_response(core::failure(body_status));
        return dispatch(request);
    } catch (std::exception const& exception) {
        core::log(core::log_level::error, "HTTP handler threw an exception",
                  {{"text", exception.what()}});
        return error_response({core::result_code::internal_error,
                               "the request could not be handled"});
    }
}

http_response civetweb_server::dispatch(http_request const& request) const
{
    http_handler handler;
    {
        std::shared_lock const lock(routes_mutex_);
        auto const method = routes_.find(request.method);
        std::size_t longest_match_size = 0;
        if (method != routes_.end()) {
            for (auto const& [path, candidate] : method->second) {
                bool const is_match = path.ends_with('/')
                                          ? request.path.starts_with(path)
                                          : request.path == path;
                if (!is_match || path.size() < longest_match_size)
                    continue;
                longest_match_size = path.size();
                handler = candidate;
            }
        }
    }
    if (handler)
        return handler(request);
    return error_response(
        {core::result_code::not_found,
         fmt::format("no route for {} {}", request.method, request.path)});
}

core::status civetweb_server::receive_body(mg_connection* connection,
                                           std::string& body)
{
    if (mg_get_header(connection, "Content-Length") == nullptr &&
        mg_get_header(connection, "Transfer-Encoding") == nullptr)
        return core::success();
    constexpr std::string_view continue_response =
        "HTTP/1.1 100 Continue\r\n\r\n";
    if (mg_get_header(connection, "Expect") != nullptr)
        mg_write(connection, continue_response.data(),
                 continue_response.size());
    int const watch_handle =
        watchdog_.watch(connection, clock_.now() + options_.receive_limit);
    auto outcome = read_body(connection, body);
    bool const is_timed_out = watchdog_.release(watch_handle);
    if (!core::is_ok(outcome) && is_timed_out)
        return core::error{core::result_code::client_too_slow,
                           "the request body was not received in time"};
    return outcome;
}

core::status civetweb_server::read_body(mg_connection* connection,
                                        std::string& body) const
{
    std::vector<char> buffer(read_buffer_bytes);
    auto const content_length = mg_get_request_info(connection)->content_length;
    long long received_bytes = 0;
    while (true) {
        int const count = mg_read(connection, buffer.data(), buffer.size());
        if (count <= 0)
            break;
        received_bytes += count;
        // The rest of a body that is too large is read and discarded, because
        // the client would lose the response if the connection were closed with
        // unread data.
        if (static_cast<std::size_t>(received_bytes) <= options_.body_limit)
            body.append(buffer.data(), static_cast<std::size_t>(count));
    }
    if (content_length >= 0 && received_bytes < content_length)
        return core::error{core::result_code::bad_request,
                           "the request body ended before its Content-Length"};
    if (static_cast<std::size_t>(received_bytes) > options_.body_limit)
        return core::error{core::result_code::body_too_large,
                           fmt::format("the body has {} bytes; the limit is {}",
                                       received_bytes, options_.body_limit)};
    return core::success();
}

core::result<std::unique_ptr<http_server>>
http_server::create(http_server_options const& options)
{
    auto server = std::make_unique<civetweb_server>(options);
    SEQUOIA_TRY(server->start());
    return std::unique_ptr<http_server>(std::move(server));
}

} // namespace sequoiaroute::http
