#include "event/http_connection.hpp"

#include "event/timeval.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

namespace sequoiaroute::event {

namespace {

/// How long, and of how many bytes, the input of a client is dropped after the
/// last response.
constexpr core::duration discard_timeout{1000};
constexpr std::size_t max_discarded_bytes = 4'194'304;
constexpr int header_too_large = 431;

/// @return the largest amount of unread input. A header is parsed only when it
///         is complete.
std::size_t input_limit(http_limits const& limits)
{
    return 2 * limits.header_bytes;
}

} // namespace

struct http_connection::pending_response
{
    std::weak_ptr<http_connection*> connection;
    std::unique_ptr<open_request> request; ///< null once answered

    void send(http_response const& response)
    {
        auto answered = std::exchange(request, nullptr);
        if (answered == nullptr)
            return;
        if (auto const target = connection.lock())
            (*target)->respond(response, std::move(answered));
    }
};

std::unique_ptr<http_connection>
http_connection::create(event_loop& loop, connection_pool& pool, int descriptor,
                        http_limits const& limits, owner& server,
                        std::shared_ptr<std::size_t> open_count)
{
    std::unique_ptr<http_connection> connection(new http_connection(
        loop, pool, descriptor, limits, server, std::move(open_count)));
    if (!pool.add(*connection))
        return nullptr;
    return connection;
}

http_connection::http_connection(event_loop& loop, connection_pool& pool,
                                 int descriptor, http_limits const& limits,
                                 owner& server,
                                 std::shared_ptr<std::size_t> open_count)
    : pool_(pool), limits_(limits), server_(server),
      open_count_(std::move(open_count)),
      buffer_(bufferevent_socket_new(loop.base(), descriptor,
                                     BEV_OPT_CLOSE_ON_FREE)),
      parser_(limits), self_(std::make_shared<http_connection*>(this))
{
    auto const timeout = to_timeval(limits.idle_timeout);
    bufferevent_setcb(buffer_, &http_connection::on_readable,
                      &http_connection::on_written, &http_connection::on_event,
                      this);
    bufferevent_set_timeouts(buffer_, &timeout, &timeout);
    bufferevent_setwatermark(buffer_, EV_READ, 0, input_limit(limits));
    bufferevent_enable(buffer_, EV_READ | EV_WRITE);
}

http_connection::~http_connection()
{
    pool_.remove(*this);
    bufferevent_free(buffer_);
}

void http_connection::on_readable(bufferevent*, void* self)
{
    auto& connection = *static_cast<http_connection*>(self);
    if (connection.state_ == state::receiving)
        connection.parse();
    else if (connection.state_ == state::discarding)
        connection.discard_input();
    else
        connection.pause_reading();
}

void http_connection::on_written(bufferevent*, void* self)
{
    auto& connection = *static_cast<http_connection*>(self);
    if (connection.state_ == state::responding)
        connection.finish_response();
}

void http_connection::on_event(bufferevent* buffer, short events, void* self)
{
    auto& connection = *static_cast<http_connection*>(self);
    bool const is_waiting = connection.state_ == state::handling ||
                            connection.state_ == state::responding;
    bool const is_reading = (events & BEV_EVENT_READING) != 0;
    if (is_waiting && is_reading && (events & BEV_EVENT_TIMEOUT) != 0) {
        bufferevent_enable(buffer, EV_READ);
    } else if (is_waiting && is_reading && (events & BEV_EVENT_EOF) != 0) {
        // The client may still read the response.
        connection.has_client_closed_ = true;
    } else {
        connection.close();
    }
}

void http_connection::pause_reading()
{
    auto* const input = bufferevent_get_input(buffer_);
    // libevent calls on_readable() again and again while the buffer is full,
    // unless reading is disabled.
    if (evbuffer_get_length(input) >= input_limit(limits_))
        bufferevent_disable(buffer_, EV_READ);
}

void http_connection::parse()
{
    auto* const input = bufferevent_get_input(buffer_);
    auto const size = evbuffer_get_length(input);
    if (size == 0)
        return;
    auto const* const bytes =
        reinterpret_cast<char const*>(evbuffer_pullup(input, -1));
    auto const consumed = parser_.consume({bytes, size});
    evbuffer_drain(input, consumed);
    request_bytes_ += consumed;
    if (parser_.progress() == request_parser::state::refused)
        return refuse(parser_.refusal_status());
    if (parser_.progress() == request_parser::state::complete)
        return handle_request();
    // A line of the chunked encoding is consumed only when it is complete.
    if (consumed == 0 && size >= input_limit(limits_))
        return refuse(header_too_large);
    if (has_client_closed_ || !report())
        return close();
    if (parser_.is_continue_expected() &&
        !std::exchange(is_continue_sent_, true)) {
        constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
        bufferevent_write(buffer_, text.data(), text.size());
    }
}

void http_connection::handle_request()
{
    state_ = state::handling;
    is_continue_sent_ = false;
    is_last_response_ = !parser_.is_keep_alive();
    is_body_wanted_ = parser_.is_body_wanted();
    request_bytes_ = std::max(request_bytes_, parser_.body_memory());
    auto request = parser_.take();
    if (!report())
        return respond({503, {{"Retry-After", "1"}}, "{}"}, nullptr);
    auto const pending = std::make_shared<pending_response>(
        pending_response{self_, std::make_unique<open_request>(open_count_)});
    server_.handle(
        std::move(request),
        [pending](http_response const& response) { pending->send(response); });
}

void http_connection::refuse(int status)
{
    is_last_response_ = true;
    is_input_complete_ = false;
    respond({status, {}, "{}"}, nullptr);
}

void http_connection::respond(http_response const& response,
                              std::unique_ptr<open_request> answered)
{
    state_ = state::responding;
    open_request_ = std::move(answered);
    is_last_response_ = is_last_response_ || server_.is_closing();
    auto const text = encode(response, is_body_wanted_, is_last_response_);
    bufferevent_write(buffer_, text.data(), text.size());
    request_bytes_ = 0;
    if (!report())
        close();
}

void http_connection::finish_response()
{
    open_request_.reset();
    bool const has_input =
        evbuffer_get_length(bufferevent_get_input(buffer_)) > 0;
    if (!has_client_closed_)
        bufferevent_enable(buffer_, EV_READ);
    if (!is_last_response_ && (!has_client_closed_ || has_input)) {
        state_ = state::receiving;
        if (has_input)
            return parse();
        if (!report())
            close();
        return;
    }
    if (has_client_closed_ || (is_input_complete_ && !has_input))
        return close();
    state_ = state::discarding;
    shutdown(bufferevent_getfd(buffer_), SHUT_WR);
    auto const timeout = to_timeval(discard_timeout);
    bufferevent_set_timeouts(buffer_, &timeout, nullptr);
    discard_input();
}

void http_connection::discard_input()
{
    auto* const input = bufferevent_get_input(buffer_);
    auto const size = evbuffer_get_length(input);
    discarded_bytes_ += size;
    evbuffer_drain(input, size);
    if (discarded_bytes_ > max_discarded_bytes)
        close();
}

void http_connection::close()
{
    server_.remove(*this);
}

bool http_connection::report()
{
    auto const unread = evbuffer_get_length(bufferevent_get_input(buffer_));
    auto const unwritten = evbuffer_get_length(bufferevent_get_output(buffer_));
    auto const request = std::max(request_bytes_, parser_.body_memory());
    return pool_.update(*this, phase(), unread + unwritten + request);
}

connection_phase http_connection::phase() const
{
    switch (state_) {
    case state::receiving:
        return request_bytes_ > 0 ||
                       evbuffer_get_length(bufferevent_get_input(buffer_)) > 0
                   ? connection_phase::receiving
                   : connection_phase::idle;
    case state::handling:
        return connection_phase::handling;
    case state::responding:
    case state::discarding:
        return connection_phase::responding;
    }
    return connection_phase::idle;
}

} // namespace sequoiaroute::event
