#include "peers/nng_server.hpp"

#include "core/identifier.hpp"
#include "core/log.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nng/protocol/reqrep0/rep.h>

namespace sequoiaroute::peers {

namespace {

/// nng reports an answer as sent once it is handed to the transport. This pause
/// lets the transport write it before the socket is closed.
constexpr core::duration linger{200};

answer_envelope make_error(core::result_code code, std::string message)
{
    answer_envelope answer;
    answer.code = static_cast<std::uint16_t>(code);
    answer.message = std::move(message);
    return answer;
}

} // namespace

nng_server::channel::channel(nng_server& owner, nng_socket socket)
    : server(owner), context(socket), operation(&handle_event, this)
{
    nng_aio_set_timeout(operation.id(), NNG_DURATION_INFINITE);
}

core::result<std::unique_ptr<nng_server>>
nng_server::create(server_options options, request_handler handler)
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (auto const fault = nng_rep0_open(&socket); fault != 0)
        return core::error{core::result_code::internal_error,
                           nng_strerror(fault)};
    std::unique_ptr<nng_server> server(
        new nng_server(std::move(options), std::move(handler), socket));
    SEQUOIA_TRY(server->listen());
    server->start();
    return server;
}

nng_server::nng_server(server_options options, request_handler handler,
                       nng_socket socket)
    : options_(std::move(options)), handler_(std::move(handler)),
      traffic_(options_.counters), socket_(socket)
{
}

core::status nng_server::listen()
{
    nng_socket_set_size(socket_.id(), NNG_OPT_RECVMAXSZ,
                        options_.max_message_bytes);
    nng_socket_set_bool(socket_.id(), NNG_OPT_TCP_KEEPALIVE, true);
    auto const url = fmt::format("tcp://{}", options_.address);
    if (auto const fault = nng_listen(socket_.id(), url.c_str(), nullptr, 0);
        fault != 0) {
        return core::error{core::result_code::unreachable,
                           fmt::format("cannot listen on {}: {}",
                                       options_.address, nng_strerror(fault))};
    }
    return core::success();
}

void nng_server::start()
{
    auto const channel_count = options_.max_pending_requests + 1;
    for (std::size_t index = 0; index < channel_count; ++index)
        channels_.push_back(std::make_unique<channel>(*this, socket_.id()));
    for (std::size_t index = 0; index < options_.thread_count; ++index)
        threads_.emplace_back([this] { run(); });
    for (auto& target : channels_)
        receive(*target);
}

void nng_server::receive(channel& target)
{
    std::lock_guard const lock(mutex_);
    target.is_sending = false;
    if (is_stopping_) {
        target.is_idle = true;
        changed_.notify_all();
        return;
    }
    nng_aio_set_timeout(target.operation.id(), NNG_DURATION_INFINITE);
    nng_ctx_recv(target.context.id(), target.operation.id());
}

void nng_server::handle_event(void* argument)
{
    auto& target = *static_cast<channel*>(argument);
    auto const fault = nng_aio_result(target.operation.id());
    if (target.is_sending) {
        // nng leaves the message with the operation when it cannot be sent.
        if (fault != 0)
            nng_msg_free(nng_aio_get_msg(target.operation.id()));
        target.server.receive(target);
        return;
    }
    if (fault != 0) {
        target.server.receive(target);
        return;
    }
    target.server.handle_request(target);
}

void nng_server::handle_request(channel& target)
{
    message_handle const message(nng_aio_get_msg(target.operation.id()));
    traffic_.note_received(nng_msg_len(message.get()));
    auto decoded = decode_message<envelope>(message.get());
    if (!is_ok(decoded)) {
        reply(target, make_error(core::result_code::bad_request,
                                 failure(decoded).message));
        return;
    }
    auto& request = value(decoded);
    if (!core::is_equal_constant_time(request.key, options_.key)) {
        reply(target, make_error(core::result_code::unauthorized,
                                 "the shared key does not match"));
        return;
    }
    if (request.kind == message_kind::ping) {
        reply(target, answer_envelope{});
        return;
    }
    enqueue(target, std::move(request));
}

void nng_server::enqueue(channel& target, envelope request)
{
    std::unique_lock lock(mutex_);
    if (work_count_ >= options_.max_pending_requests) {
        lock.unlock();
        reply(target, make_error(core::result_code::overloaded_not_run,
                                 "too many requests of other processes"));
        return;
    }
    ++work_count_;
    queue_.push_back({&target, std::move(request)});
    changed_.notify_all();
}

void nng_server::reply(channel& target, answer_envelope answer)
{
    answer.incarnation = options_.incarnation;
    auto message = encode_message(answer);
    traffic_.note_sent(nng_msg_len(message.get()));
    // The lock keeps stop() from cancelling this send as a pending receive.
    std::lock_guard const lock(mutex_);
    target.is_sending = true;
    nng_aio_set_timeout(target.operation.id(),
                        static_cast<nng_duration>(options_.send_limit.count()));
    nng_aio_set_msg(target.operation.id(), message.release());
    nng_ctx_send(target.context.id(), target.operation.id());
}

answer_envelope nng_server::run_handler(envelope const& request) const
{
    try {
        return handler_(request);
    } catch (std::exception const& exception) {
        core::log(core::log_level::error, "request handler threw",
                  {{"kind", request.kind}, {"fault", exception.what()}});
        return make_error(core::result_code::internal_error, exception.what());
    }
}

void nng_server::run()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        changed_.wait(lock, [this] { return is_stopping_ || !queue_.empty(); });
        if (queue_.empty())
            return;
        auto const next = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        auto answer = run_handler(next.request);
        lock.lock();
        --work_count_;
        lock.unlock();
        reply(*next.target, std::move(answer));
        lock.lock();
    }
}

void nng_server::stop()
{
    {
        std::lock_guard const lock(mutex_);
        if (std::exchange(is_stopping_, true))
            return;
        for (auto& target : channels_) {
            // Cancels only a pending receive; a send has its own time limit.
            if (!target->is_sending)
                nng_aio_cancel(target->operation.id());
        }
    }
    changed_.notify_all();
    for (auto& thread : threads_)
        thread.join();
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] {
        return std::all_of(channels_.begin(), channels_.end(),
                           [](auto& target) { return target->is_idle; });
    });
    lock.unlock();
    if (!channels_.empty())
        std::this_thread::sleep_for(linger);
}

} // namespace sequoiaroute::peers
