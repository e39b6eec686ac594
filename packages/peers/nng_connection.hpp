#pragma once

#include "core/clock.hpp"
#include "core/result.hpp"
#include "peers/byte_counters.hpp"
#include "peers/messages.hpp"
#include "peers/nng_handles.hpp"

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_set.h>

namespace sequoiaroute::peers {

/// The sender fields of each envelope that a process sends.
struct sender_identity
{
    std::string sender;      ///< process id
    std::string incarnation; ///< unique to this start of the process
    std::string key;         ///< the system key that all processes share
};

/// Options of the links of a process. Durations are in milliseconds.
struct link_options
{
    /// Interval between pings while calls are in flight.
    core::duration ping_period{1000};
    /// A connection with calls in flight that delivers no answer for this long
    /// is replaced, if a second connection answers a ping.
    core::duration silence_limit{3000};
    /// Timeout of sending a request, including the wait for a connection.
    core::duration connect_limit{1000};
    /// A link without calls for this long is closed.
    core::duration idle_timeout{60'000};
    /// Limit for received messages; nng closes the connection on a larger one.
    std::size_t max_message_bytes = 80'000'000;
    /// Receives the byte counts; nullptr disables counting. Must outlive the
    /// links.
    core::counters* counters = nullptr;
};

/// An nng request socket that is connected to one process. Several threads can
/// make calls concurrently. nng's automatic resend is disabled by an infinite
/// resend time: a request is sent at most once, and a lost connection fails
/// the calls in flight on it.
class nng_connection
{
public:
    /// Opens a socket that connects, and reconnects, in the background.
    /// @param address the IP:PORT on which the process listens
    /// @param options the timeouts and size limit of the connection
    /// @return the connection, which may not be established yet; unreachable
    ///         if the socket cannot be opened or the address is invalid
    static core::result<std::shared_ptr<nng_connection>>
    create(std::string_view address, link_options const& options);

    /// Takes ownership of an open socket. Use create() instead.
    nng_connection(nng_socket socket, link_options const& options)
        : socket_(socket), connect_limit_(options.connect_limit),
          counters_(options.counters)
    {
    }

    /// Sends a request and blocks until its answer arrives.
    /// @param request the envelope to send
    /// @param time_limit the timeout of the call
    /// @return the answer; unreachable if the request was definitely not sent;
    ///         timed_out if the other process may have received it;
    ///         bad_request if the answer cannot be decoded
    core::result<answer_envelope> call(envelope const& request,
                                       core::duration time_limit);

    /// Makes the calls that wait for an answer, and all later ones, fail with
    /// timed_out.
    void abort_calls();

    nng_socket socket() const { return socket_.native_handle(); }

    /// @return the counters for messages sent and received outside call()
    byte_counters const& counters() const { return counters_; }

private:
    /// Blocks until nng has accepted the request for an open connection.
    /// @return unreachable if the request was not sent
    core::status send(nng_ctx context, nng_aio* operation,
                      envelope const& request, core::duration time_limit) const;
    /// Blocks until the answer has arrived.
    /// @return timed_out on timeout, abort or a lost connection
    core::result<answer_envelope> receive(nng_ctx context, nng_aio* operation,
                                          core::duration time_limit);
    /// Starts the receive operation, so that abort_calls() can cancel it.
    /// @return false if the calls were aborted
    bool start_receive(nng_ctx context, nng_aio* operation);

    socket_handle socket_;
    core::duration connect_limit_;
    byte_counters counters_;
    std::mutex mutex_; ///< guards the members below
    bool is_aborted_ = false;
    absl::flat_hash_set<nng_aio*> pending_receives_;
};

} // namespace sequoiaroute::peers
