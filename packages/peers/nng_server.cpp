#include "peers/nng_server.hpp"

#include "core/identifier.hpp"
#include "core/log.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nng/protocol/reqrep0/rep.h>

namespace sequoiaroute::peers {

namespace {

/// nng reports an answer as sent once it is handed to the transport. This delay
/// lets the transport write the last answers before the socket is closed.
constexpr core::duration transport_flush_delay{200}; // milliseconds

answer_envelope make_error(core::result_code code, std::string message)
{
    answer_envelope answer;
    answer.code = static_cast<std::uint16_t>(code);
    answer.message = std::move(message);
    return answer;
}

} // namespace

nng_server::request_channel::request_channel(nng_server& owner,
                                             nng_socket socket)
    : server(owner), context(socket), operation(&completion_callback, this)
{
    nng_aio_set_timeout(operation.native_handle(), NNG_DURATION_INFINITE);
}

core::result<std::unique_ptr<nng_server>>
nng_server::create(server_options options, request_handler handler)
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (auto const error_number = nng_rep0_open(&socket); error_number != 0)
        return core::error{core::result_code::internal_error,
                           nng_strerror(error_number)};
    std::unique_ptr<nng_server> server(
        new nng_server(std::move(options), std::move(handler), socket));
    SEQUOIA_TRY(server->listen());
    server->start();
    return server;
}

nng_server::nng_server(server_options options, request_handler handler,
                       nng_socket socket)
    : options_(std::move(options)), handler_(std::move(handler)),
      counters_(options_.counters), socket_(socket)
{
}

core::status nng_server::listen()
{
    nng_socket_set_size(socket_.native_handle(), NNG_OPT_RECVMAXSZ,
                        options_.max_message_bytes);
    nng_socket_set_bool(socket_.native_handle(), NNG_OPT_TCP_KEEPALIVE, true);
    auto const url = fmt::format("tcp://{}", options_.address);
    if (auto const error_number =
            nng_listen(socket_.native_handle(), url.c_str(), nullptr, 0);
        error_number != 0) {
        return core::error{core::result_code::unreachable,
                           fmt::format("cannot listen on {}: {}",
                                       options_.address,
                                       nng_strerror(error_number))};
    }
    return core::success();
}

void nng_server::start()
{
    auto const channel_count = options_.max_pending_requests + 1;
    for (std::size_t index = 0; index < channel_count; ++index)
        channels_.push_back(
            std::make_unique<request_channel>(*this, socket_.native_handle()));
    for (std::size_t index = 0; index < options_.thread_count; ++index)
        threads_.emplace_back([this] { serve_queue(); });
    for (auto& channel : channels_)
        receive(*channel);
}

void nng_server::receive(request_channel& channel)
{
    std::lock_guard const lock(mutex_);
    channel.is_sending = false;
    if (is_stopping_) {
        channel.is_idle = true;
        state_changed_.notify_all();
        return;
    }
    nng_aio_set_timeout(channel.operation.native_handle(),
                        NNG_DURATION_INFINITE);
    nng_ctx_recv(channel.context.native_handle(),
                 channel.operation.native_handle());
}

void nng_server::completion_callback(void* argument)
{
    auto& channel = *static_cast<request_channel*>(argument);
    auto const error_number = nng_aio_result(channel.operation.native_handle());
    if (channel.is_sending) {
        // nng leaves a message that it could not send with the operation.
        if (error_number != 0)
            nng_msg_free(nng_aio_get_msg(channel.operation.native_handle()));
        channel.server.receive(channel);
        return;
    }
    if (error_number != 0) {
        channel.server.receive(channel);
        return;
    }
    channel.server.handle_request(channel);
}

void nng_server::handle_request(request_channel& channel)
{
    message_handle const message(
        nng_aio_get_msg(channel.operation.native_handle()));
    counters_.add_received(nng_msg_len(message.get()));
    auto decoded = decode_message<envelope>(message.get());
    if (!is_ok(decoded)) {
        reply(channel, make_error(core::result_code::bad_request,
                                  failure(decoded).message));
        return;
    }
    auto& request = value(decoded);
    if (!core::is_equal_constant_time(request.key, options_.key)) {
        reply(channel, make_error(core::result_code::unauthorized,
                                  "the request carries a wrong system key"));
        return;
    }
    if (request.kind == message_kind::ping) {
        reply(channel, answer_envelope{});
        return;
    }
    enqueue(channel, std::move(request));
}

void nng_server::enqueue(request_channel& channel, envelope request)
{
    std::unique_lock lock(mutex_);
    if (pending_request_count_ >= options_.max_pending_requests) {
        lock.unlock();
        reply(channel,
              make_error(core::result_code::overloaded_not_run,
                         "too many pending requests from other processes"));
        return;
    }
    ++pending_request_count_;
    queue_.push_back({&channel, std::move(request)});
    state_changed_.notify_all();
}

void nng_server::reply(request_channel& channel, answer_envelope answer)
{
    answer.incarnation = options_.incarnation;
    auto message = encode_message(answer);
    counters_.add_sent(nng_msg_len(message.get()));
    // The lock keeps stop() from mistaking this send for a pending receive and
    // cancelling it.
    std::lock_guard const lock(mutex_);
    channel.is_sending = true;
    nng_aio_set_timeout(
        channel.operation.native_handle(),
        static_cast<nng_duration>(options_.send_timeout.count()));
    nng_aio_set_msg(channel.operation.native_handle(), message.release());
    nng_ctx_send(channel.context.native_handle(),
                 channel.operation.native_handle());
}

answer_envelope nng_server::call_handler(envelope const& request) const
{
    try {
        return handler_(request);
    } catch (std::exception const& exception) {
        core::log(core::log_level::error,
                  "the handler of a request threw an exception",
                  {{"kind", request.kind}, {"fault", exception.what()}});
        return make_error(core::result_code::internal_error, exception.what());
    }
}

void nng_server::serve_queue()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        state_changed_.wait(lock,
                            [this] { return is_stopping_ || !queue_.empty(); });
        if (queue_.empty())
            return;
        auto const queued = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        auto answer = call_handler(queued.request);
        lock.lock();
        --pending_request_count_;
        lock.unlock();
        reply(*queued.channel, std::move(answer));
        lock.lock();
    }
}

void nng_server::stop()
{
    {
        std::lock_guard const lock(mutex_);
        if (std::exchange(is_stopping_, true))
            return;
        for (auto& channel : channels_) {
            // Only receives are cancelled; a send ends by its timeout.
            if (!channel->is_sending)
                nng_aio_cancel(channel->operation.native_handle());
        }
    }
    state_changed_.notify_all();
    for (auto& thread : threads_)
        thread.join();
    std::unique_lock lock(mutex_);
    state_changed_.wait(lock, [this] {
        return std::all_of(channels_.begin(), channels_.end(),
                           [](auto& channel) { return channel->is_idle; });
    });
    lock.unlock();
    if (!channels_.empty())
        std::this_thread::sleep_for(transport_flush_delay);
}

} // namespace sequoiaroute::peers
