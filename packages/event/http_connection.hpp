#pragma once

#include "event/connection_pool.hpp"
#include "event/event_loop.hpp"
#include "event/http_message.hpp"
#include "event/request_parser.hpp"

#include <cstddef>
#include <memory>

struct bufferevent;

namespace sequoiaroute::event {

/// Counts a request as open while the object exists.
class open_request
{
public:
    explicit open_request(std::shared_ptr<std::size_t> count)
        : count_(std::move(count))
    {
        ++*count_;
    }
    open_request(open_request const&) = delete;
    open_request& operator=(open_request const&) = delete;
    ~open_request() { --*count_; }

private:
    std::shared_ptr<std::size_t> count_;
};

/// A connection of a client to a server. It handles one request at a time: what
/// a client sends ahead is not read before the last response has been written,
/// but for one buffer.
class http_connection final : private pooled_connection
{
public:
    /// The server of a connection.
    class owner
    {
    public:
        virtual ~owner() = default;

        /// Handles a request; the responder may be called at any time.
        virtual void handle(http_request request, http_responder respond) = 0;

        /// @return whether connections are closed after their next response
        virtual bool is_closing() const = 0;

        /// Destroys a connection, during one of its own callbacks.
        virtual void remove(http_connection& closed) = 0;
    };

    /// Takes ownership of a connected socket, and adds the connection to the
    /// pool.
    /// @param loop handles the socket; must outlive the connection
    /// @param pool the connections of the process; must outlive the connection
    /// @param descriptor the socket, which does not block
    /// @param limits the limits of requests; must outlive the connection
    /// @param server the server; must outlive the connection
    /// @param open_count the number of open requests of the server
    /// @return the connection; null if the pool is full, and the socket is
    ///         closed then
    static std::unique_ptr<http_connection>
    create(event_loop& loop, connection_pool& pool, int descriptor,
           http_limits const& limits, owner& server,
           std::shared_ptr<std::size_t> open_count);

    http_connection(http_connection const&) = delete;
    http_connection& operator=(http_connection const&) = delete;
    ~http_connection() override;

private:
    enum class state
    {
        receiving,  ///< a request
        handling,   ///< the handler has the request
        responding, ///< the response is being written
        discarding, ///< after the last response, until the client closes
    };

    /// The response to a request, which may come after the connection ended.
    struct pending_response;

    http_connection(event_loop& loop, connection_pool& pool, int descriptor,
                    http_limits const& limits, owner& server,
                    std::shared_ptr<std::size_t> open_count);

    void evict() override { close(); }

    static void on_readable(bufferevent* buffer, void* self);
    static void on_written(bufferevent* buffer, void* self);
    static void on_event(bufferevent* buffer, short events, void* self);

    /// Reads no further while a request is answered and the buffer is full.
    void pause_reading();
    /// Parses what has been received, up to the end of a request.
    void parse();
    void handle_request();
    /// Answers a request that is not handled, and ends the connection.
    void refuse(int status);
    void respond(http_response const& response,
                 std::unique_ptr<open_request> answered);
    void finish_response();
    /// Drops what the client still sends, so that the connection is not reset
    /// before the client has read the last response.
    void discard_input();
    void close();
    /// Tells the pool what the connection does and holds.
    /// @return false if the connection has to give way
    [[nodiscard]] bool report();
    /// @return the phase for the pool
    connection_phase phase() const;

    connection_pool& pool_;
    http_limits const& limits_;
    owner& server_;
    std::shared_ptr<std::size_t> open_count_;
    bufferevent* buffer_;
    request_parser parser_;
    state state_ = state::receiving;
    bool is_continue_sent_ = false;
    bool is_last_response_ = false;
    bool is_body_wanted_ = true;
    /// Whether everything that the client sent so far belongs to requests.
    bool is_input_complete_ = true;
    bool has_client_closed_ = false;
    std::size_t discarded_bytes_ = 0;
    /// The memory that the present request takes, without unread input.
    std::size_t request_bytes_ = 0;
    std::unique_ptr<open_request> open_request_; ///< while responding
    /// Tells pending responses whether the connection still exists.
    std::shared_ptr<http_connection*> self_;
};

} // namespace sequoiaroute::event
