#include "http/civetweb_client.hpp"

#include "http/civetweb_library.hpp"

#include <array>
#include <atomic>
#include <charconv>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <system_error>
#include <thread>
#include <vector>

#include <civetweb.h>
#include <fmt/format.h>

namespace sequoiaroute::http {

namespace {

constexpr std::size_t read_buffer_bytes = 65'536;
/// Limits the threads of exchanges: a thread whose caller has timed out runs on
/// until one of CivetWeb's timeouts ends it.
constexpr int max_running_exchanges = 512;

std::atomic<int> running_exchanges{0};

struct connection_deleter
{
    void operator()(mg_connection* connection) const
    {
        mg_close_connection(connection);
    }
};

using connection_pointer = std::unique_ptr<mg_connection, connection_deleter>;

/// State that the caller and the thread of an exchange share.
struct exchange
{
    std::string host;
    int port = 0;
    std::string request_text;
    core::time_point deadline;

    std::mutex mutex;
    std::condition_variable finished;
    bool is_abandoned = false; ///< the caller has timed out
    bool is_sending = false;   ///< the server may receive the request
    std::optional<core::result<http_response>> outcome;
};

/// Percent-encodes a name or a value of a query string.
std::string encode_component(std::string_view text)
{
    std::string encoded(text.size() * 3 + 1, '\0');
    int const length = mg_url_encode(std::string(text).c_str(), encoded.data(),
                                     encoded.size());
    encoded.resize(length < 0 ? 0 : static_cast<std::size_t>(length));
    return encoded;
}

/// Formats the head and the body of a request.
std::string format_request(std::string_view address,
                           http_request const& request)
{
    auto target = request.path;
    char separator = '?';
    for (auto const& [name, text] : request.query) {
        target += fmt::format("{}{}={}", separator, encode_component(name),
                              encode_component(text));
        separator = '&';
    }
    auto request_text = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n",
                                    request.method, target, address);
    for (auto const& [name, text] : request.headers)
        request_text += fmt::format("{}: {}\r\n", name, text);
    request_text += fmt::format(
        "Content-Length: {}\r\nConnection: close\r\n\r\n", request.body.size());
    request_text += request.body;
    return request_text;
}

/// The error of a request that may have been handled.
core::error no_response_error(std::string_view reason)
{
    return {core::result_code::timed_out,
            fmt::format("no complete response was received: {}", reason)};
}

/// Reads the body of a response whose head has been received.
/// @return the response with its body; answer_incomplete or timed_out
core::result<http_response> read_body(exchange const& state,
                                      mg_connection* connection,
                                      http_response response)
{
    auto const* const information = mg_get_response_info(connection);
    auto const content_length = information->content_length;
    auto const encoding = response.headers.find("Transfer-Encoding");
    bool const is_chunked = encoding != response.headers.end();
    bool const has_no_body = response.status == 204 || response.status == 304;
    std::vector<char> buffer(read_buffer_bytes);
    int count = 0;
    while (!has_no_body &&
           (count = mg_read(connection, buffer.data(), buffer.size())) > 0) {
        response.body.append(buffer.data(), static_cast<std::size_t>(count));
        if (core::system_clock().now() > state.deadline)
            return no_response_error("the time limit was exceeded");
    }
    // Without Content-Length or chunks, the end of the body cannot be told from
    // a broken connection.
    bool const is_complete =
        has_no_body || (is_chunked && count == 0) ||
        (content_length >= 0 &&
         response.body.size() == static_cast<std::size_t>(content_length));
    if (!is_complete)
        return core::error{
            core::result_code::answer_incomplete,
            fmt::format("the response body ended after {} of {} bytes",
                        response.body.size(), content_length)};
    return response;
}

core::result<http_response> send_and_receive(exchange const& state,
                                             mg_connection* connection)
{
    std::array<char, 256> error_text{};
    int const sent_bytes = mg_write(connection, state.request_text.data(),
                                    state.request_text.size());
    // A server may respond and close the connection before it has received the
    // complete request, so the response is read even if sending failed.
    auto const remaining = state.deadline - core::system_clock().now();
    if (remaining.count() <= 0)
        return no_response_error("the time limit was exceeded");
    if (mg_get_response(connection, error_text.data(), error_text.size(),
                        static_cast<int>(remaining.count())) < 0)
        return no_response_error(sent_bytes < 0 ? "sending the request failed"
                                                : error_text.data());
    auto const* const information = mg_get_response_info(connection);
    http_response response;
    response.status = information->status_code;
    for (int index = 0; index < information->num_headers; ++index) {
        auto const& header = information->http_headers[index];
        response.headers[header.name] = header.value;
    }
    return read_body(state, connection, std::move(response));
}

/// Connects, and unless the caller has timed out, sends the request and
/// receives the response.
core::result<http_response> perform(exchange& state)
{
    std::array<char, 256> error_text{};
    connection_pointer const connection(
        mg_connect_client(state.host.c_str(), state.port, 0, error_text.data(),
                          error_text.size()));
    if (!connection)
        return core::error{core::result_code::unreachable, error_text.data()};
    {
        // Under the lock, an exchange is either sent or abandoned: the request
        // must not be sent after the caller has returned "unreachable".
        std::lock_guard const lock(state.mutex);
        if (state.is_abandoned)
            return core::error{core::result_code::unreachable,
                               "the time limit was exceeded while connecting"};
        state.is_sending = true;
    }
    return send_and_receive(state, connection.get());
}

/// The function of the thread of an exchange.
void run_exchange(std::shared_ptr<exchange> const& state)
{
    auto outcome = perform(*state);
    --running_exchanges;
    std::lock_guard const lock(state->mutex);
    state->outcome = std::move(outcome);
    state->finished.notify_all();
}

/// The error of a request that was not sent.
core::error not_sent_error(std::string_view reason)
{
    return {core::result_code::unreachable, std::string(reason)};
}

} // namespace

civetweb_client::civetweb_client()
{
    initialise_civetweb();
}

core::result<http_response> civetweb_client::send(std::string_view address,
                                                  http_request const& request,
                                                  core::duration timeout)
{
    auto const state = std::make_shared<exchange>();
    auto const colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return not_sent_error("the address has no port");
    auto const port = address.substr(colon + 1);
    std::from_chars(port.data(), port.data() + port.size(), state->port);
    state->host = std::string(address.substr(0, colon));
    state->request_text = format_request(address, request);
    state->deadline = core::system_clock().now() + timeout;

    if (++running_exchanges > max_running_exchanges) {
        --running_exchanges;
        return not_sent_error("too many HTTP exchanges are in progress");
    }
    try {
        std::thread([state] { run_exchange(state); }).detach();
    } catch (std::system_error const& exception) {
        --running_exchanges;
        return not_sent_error(exception.what());
    }

    std::unique_lock lock(state->mutex);
    if (state->finished.wait_for(lock,
                                 state->deadline - core::system_clock().now(),
                                 [&] { return state->outcome.has_value(); }))
        return std::move(*state->outcome);
    state->is_abandoned = true;
    if (!state->is_sending)
        return not_sent_error("no connection was made within the time limit");
    return no_response_error("the time limit was exceeded");
}

} // namespace sequoiaroute::http
