#include "peers/link_probe.hpp"

#include <utility>

namespace sequoiaroute::peers {

link_probe::link_probe(std::shared_ptr<nng_connection> connection,
                       envelope const& ping, core::duration time_limit)
    : connection_(std::move(connection)), context_(connection_->socket()),
      operation_(&completion_callback, this)
{
    if (!context_.is_open()) {
        state_ = state::failed;
        return;
    }
    nng_aio_set_timeout(operation_.native_handle(),
                        static_cast<nng_duration>(time_limit.count()));
    auto message = encode_message(ping);
    connection_->counters().add_sent(nng_msg_len(message.get()));
    nng_aio_set_msg(operation_.native_handle(), message.release());
    nng_ctx_send(context_.native_handle(), operation_.native_handle());
}

void link_probe::completion_callback(void* argument)
{
    static_cast<link_probe*>(argument)->handle_completion();
}

void link_probe::handle_completion()
{
    auto const error_number = nng_aio_result(operation_.native_handle());
    if (state_ == state::sending) {
        if (error_number != 0) {
            nng_msg_free(nng_aio_get_msg(operation_.native_handle()));
            state_ = state::failed;
            return;
        }
        state_ = state::receiving;
        nng_ctx_recv(context_.native_handle(), operation_.native_handle());
        return;
    }
    if (error_number != 0) {
        state_ = state::failed;
        return;
    }
    // Any answer, even an error, proves that the connection delivers data.
    message_handle const answer(nng_aio_get_msg(operation_.native_handle()));
    connection_->counters().add_received(nng_msg_len(answer.get()));
    state_ = state::answered;
}

} // namespace sequoiaroute::peers
