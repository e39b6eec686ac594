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

struct server_options
{
    std::string address;     ///< IP:PORT
    std::string key;         ///< the shared key of the system's processes
    std::string incarnation; ///< of this process
    std::size_t thread_count = 16;
    /// Requests that run or wait for a thread. Further ones are refused.
    std::size_t max_pending_requests = 64;
    std::size_t max_message_bytes = 80'000'000;
    /// How long an answer may wait for a peer that does not read.
    core::duration send_limit{5000};
    /// Where bytes are counted. It must outlive the server.
    core::counters* counters = nullptr;
};

/// Serves requests of other processes over nng. One context more than the work
/// limit receives messages, so a ping is answered, and surplus work refused,
/// while every thread is busy.
class nng_server
{
public:
    /// Starts to listen.
    /// @param options address, key and sizes
    /// @param handler called for every request with the right key, but pings
    /// @return the server, or unreachable if the address cannot be bound
    static core::result<std::unique_ptr<nng_server>>
    create(server_options options, request_handler handler);

    nng_server(nng_server const&) = delete;
    nng_server& operator=(nng_server const&) = delete;
    ~nng_server() { stop(); }

    /// Receives no further requests and returns when the answers to those in
    /// flight have been sent.
    void stop();

private:
    struct channel
    {
        channel(nng_server& owner, nng_socket socket);
        nng_server& server;
        context_handle context;
        bool is_sending = false;
        bool is_idle = false; ///< under mutex_; set once stopping
        operation_handle operation;
    };

    struct work
    {
        channel* target;
        envelope request;
    };

    nng_server(server_options options, request_handler handler,
               nng_socket socket);
    core::status listen();
    void start();
    static void handle_event(void* argument);
    void receive(channel& target);
    void handle_request(channel& target);
    void reply(channel& target, answer_envelope answer);
    void enqueue(channel& target, envelope request);
    void run();
    answer_envelope run_handler(envelope const& request) const;

    server_options options_;
    request_handler handler_;
    byte_counters traffic_;
    socket_handle socket_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<work> queue_;
    std::size_t work_count_ = 0;
    bool is_stopping_ = false;
    std::vector<std::unique_ptr<channel>> channels_;
    std::vector<std::thread> threads_;
};

} // namespace sequoiaroute::peers
