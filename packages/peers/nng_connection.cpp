#include "peers/nng_connection.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <nng/protocol/reqrep0/req.h>

namespace sequoiaroute::peers {

namespace {

constexpr nng_duration reconnect_min_ms = 50;
constexpr nng_duration reconnect_max_ms = 500;

core::error make_error(core::result_code code, int error_number)
{
    return {code, nng_strerror(static_cast<nng_errno_enum>(error_number))};
}

nng_duration to_nng_duration(core::duration time)
{
    return static_cast<nng_duration>(
        std::max<core::duration::rep>(time.count(), 1));
}

} // namespace

core::result<std::shared_ptr<nng_connection>>
nng_connection::create(std::string_view address, link_options const& options)
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (auto const error_number = nng_req0_open(&socket); error_number != 0)
        return make_error(core::result_code::unreachable, error_number);
    auto connection = std::make_shared<nng_connection>(socket, options);
    nng_socket_set_ms(socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, reconnect_min_ms);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, reconnect_max_ms);
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, options.max_message_bytes);
    nng_socket_set_bool(socket, NNG_OPT_TCP_KEEPALIVE, true);
    auto const url = fmt::format("tcp://{}", address);
    if (auto const error_number =
            nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
        error_number != 0)
        return make_error(core::result_code::unreachable, error_number);
    return connection;
}

core::result<answer_envelope> nng_connection::call(envelope const& request,
                                                   core::duration time_limit)
{
    core::system_clock const clock;
    auto const deadline = clock.now() + time_limit;
    context_handle const context(socket_.native_handle());
    if (!context.is_open())
        return make_error(core::result_code::unreachable, NNG_ECLOSED);
    operation_handle const operation;
    SEQUOIA_TRY(send(context.native_handle(), operation.native_handle(),
                     request, std::min(time_limit, connect_limit_)));
    return receive(context.native_handle(), operation.native_handle(),
                   deadline - clock.now());
}

core::status nng_connection::send(nng_ctx context, nng_aio* operation,
                                  envelope const& request,
                                  core::duration time_limit) const
{
    auto message = encode_message(request);
    auto const message_bytes = nng_msg_len(message.get());
    nng_aio_set_timeout(operation, to_nng_duration(time_limit));
    nng_aio_set_msg(operation, message.get());
    nng_ctx_send(context, operation);
    nng_aio_wait(operation);
    // On failure nng leaves the message to the caller: it was not sent.
    if (auto const error_number = nng_aio_result(operation); error_number != 0)
        return make_error(core::result_code::unreachable, error_number);
    static_cast<void>(message.release());
    counters_.add_sent(message_bytes);
    return core::success();
}

bool nng_connection::start_receive(nng_ctx context, nng_aio* operation)
{
    std::lock_guard const lock(mutex_);
    if (is_aborted_)
        return false;
    nng_ctx_recv(context, operation);
    pending_receives_.insert(operation);
    return true;
}

core::result<answer_envelope> nng_connection::receive(nng_ctx context,
                                                      nng_aio* operation,
                                                      core::duration time_limit)
{
    nng_aio_set_timeout(operation, to_nng_duration(time_limit));
    if (!start_receive(context, operation))
        return make_error(core::result_code::timed_out, NNG_ECANCELED);
    nng_aio_wait(operation);
    {
        std::lock_guard const lock(mutex_);
        pending_receives_.erase(operation);
    }
    if (auto const error_number = nng_aio_result(operation); error_number != 0)
        return make_error(core::result_code::timed_out, error_number);
    message_handle const message(nng_aio_get_msg(operation));
    counters_.add_received(nng_msg_len(message.get()));
    return decode_message<answer_envelope>(message.get());
}

void nng_connection::abort_calls()
{
    std::lock_guard const lock(mutex_);
    is_aborted_ = true;
    for (auto* const operation : pending_receives_)
        nng_aio_abort(operation, NNG_ECANCELED);
}

} // namespace sequoiaroute::peers
