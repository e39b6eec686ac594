#pragma once

#include "core/result.hpp"
#include "peers/byte_counters.hpp"
#include "peers/link.hpp"
#include "peers/nng_handles.hpp"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sequoiaroute::peers {

/// Options of an nng_server.
struct server_options
{
    std::string address;           ///< the IP:PORT to listen on
    std::string key;               ///< the system key that requests must carry
    std::string incarnation;       ///< of this process, sent with each answer
    std::size_t thread_count = 16; ///< threads that call the handler
    /// Limit of requests that run or wait for a thread. Further requests are
    /// refused with overloaded_not_run.
    std::size_t max_pending_requests = 64;
    /// Limit for received messages; nng closes the connection on a larger one.
    std::size_t max_message_bytes = 80'000'000;
    /// Milliseconds until an answer is dropped because the other process does
    /// not read it.
    core::duration send_timeout{5000};
    /// Receives the byte counts; nullptr disables counting. Must outlive the
    /// server.
    core::counters* counters = nullptr;
};

/// Serves requests of other processes over nng. A pool of threads calls the
/// handler; the threads of nng answer pings and refuse requests with a wrong
/// key or above the limit. The number of receiving nng contexts is one more
/// than the limit of pending requests, so that a context remains for pings and
/// refusals while all threads are busy and the queue is full.
class nng_server
{
public:
    /// Starts a server.
    /// @param options the options of the server
    /// @param handler called for each request with the right key except pings;
    ///        an exception it throws is answered with internal_error
    /// @return the listening server; unreachable if it cannot listen on the
    ///         address; internal_error if the socket cannot be opened
    static core::result<std::unique_ptr<nng_server>>
    create(server_options options, request_handler handler);

    nng_server(nng_server const&) = delete;
    nng_server& operator=(nng_server const&) = delete;
    ~nng_server() { stop(); }

    /// Stops receiving requests, and blocks until the pending requests have
    /// been handled and their answers sent. Idempotent.
    void stop();

private:
    /// An nng context that receives one request at a time and sends its
    /// answer. It receives the next request only after that.
    struct request_channel
    {
        request_channel(nng_server& owner, nng_socket socket);
        nng_server& server;
        context_handle context;
        bool is_sending = false; ///< true while it sends an answer
        bool is_idle = false;    ///< guarded by mutex_; set once stopping
        operation_handle operation;
    };

    /// A request that waits for a thread, and the channel for its answer.
    struct queued_request
    {
        request_channel* channel;
        envelope request;
    };

    nng_server(server_options options, request_handler handler,
               nng_socket socket);
    core::status listen();
    /// Starts the threads and the receive operation of each channel.
    void start();
    /// Called by nng when a channel has received a message or sent an answer.
    /// @param argument the request_channel
    static void completion_callback(void* argument);
    /// Starts to receive the next request, or marks the channel idle if the
    /// server is stopping.
    void receive(request_channel& channel);
    /// Checks the received request, and answers or enqueues it.
    void handle_request(request_channel& channel);
    void reply(request_channel& channel, answer_envelope answer);
    /// Queues a request for the threads, or refuses it above the limit.
    void enqueue(request_channel& channel, envelope request);
    /// Body of each thread: handles queued requests until the server stops and
    /// the queue is empty.
    void serve_queue();
    answer_envelope call_handler(envelope const& request) const;

    server_options options_;
    request_handler handler_;
    byte_counters counters_;
    socket_handle socket_;
    std::mutex mutex_;
    std::condition_variable state_changed_;
    std::deque<queued_request> queue_;
    std::size_t pending_request_count_ = 0; ///< queued or running
    bool is_stopping_ = false;
    std::vector<std::unique_ptr<request_channel>> channels_;
    std::vector<std::thread> threads_;
};

} // namespace sequoiaroute::peers
