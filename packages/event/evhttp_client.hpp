#pragma once

#include "event/event_loop.hpp"
#include "event/http_client.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace sequoiaroute::event {

/// An HTTP client based on libevent, with a pool of persistent connections for
/// each server address. A connection whose call timed out is closed, since a
/// late response would be taken for that of the next call.
class evhttp_client final : public http_client
{
public:
    explicit evhttp_client(event_loop& loop);
    ~evhttp_client() override;

    void call(http_call call, callback done) override;

private:
    struct exchange;
    struct connection;
    /// The connections to one server, and the exchanges that wait for one.
    struct connection_pool
    {
        std::vector<std::unique_ptr<connection>> idle;
        std::size_t busy_count = 0;
        std::deque<std::unique_ptr<exchange>> waiting;
    };

    /// Sends the request on an idle connection, or on a new one.
    void reject(std::unique_ptr<exchange> invalid_exchange);
    void start(std::unique_ptr<exchange> pending_exchange);
    /// Ends an exchange, waiting or started, whose timeout has passed.
    void expire(exchange* exchange);
    /// Releases the connection of a started exchange and reports the result.
    void finish(exchange* exchange, http_call_result result);
    /// Returns a connection to its pool, then starts the next waiting exchange.
    /// @param connection null if it has been closed
    void release(std::unique_ptr<connection> connection,
                 std::string const& address);

    event_loop& loop_;
    std::map<std::string, connection_pool> pools_; ///< by address
    std::map<exchange*, std::unique_ptr<exchange>> started_exchanges_;
};

} // namespace sequoiaroute::event
