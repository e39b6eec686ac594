#pragma once

#include "event/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace sequoiaroute::event {

/// What a connection is doing, which decides whether it may be closed.
enum class connection_phase
{
    idle,       ///< between two requests
    receiving,  ///< a part of a request has been received
    handling,   ///< the handler has the request, so its effect is open
    responding, ///< the response waits for the client to read it
};

/// A connection as a connection_pool sees it.
class pooled_connection
{
public:
    virtual ~pooled_connection() = default;

    /// Closes the connection at once, which destroys it.
    virtual void evict() = 0;
};

/// Limits of all connections of the clients of a process.
struct connection_limits
{
    std::size_t connections = 1024;
    /// Memory for requests and responses that are not complete, in bytes.
    std::size_t buffered_bytes = 32'000'000;
};

/// Bounds the connections of all servers of a process and the memory that they
/// hold, so that no crowd of clients ends the process. At a limit, it closes
/// the connections whose clients make the least use of them:
///
/// * without a free connection, the one that has been idle for longest, else
/// the
///   one that has waited for its client for longest;
/// * without free memory, the one that holds most.
///
/// Connections whose request is being handled are never closed.
class connection_pool
{
public:
    explicit connection_pool(connection_limits limits) : limits_(limits) {}
    connection_pool(connection_pool const&) = delete;
    connection_pool& operator=(connection_pool const&) = delete;

    /// Adds a connection; it is idle and holds nothing.
    /// @param added the connection, which must be removed before it is
    /// destroyed
    /// @return false if the limit is reached and no connection may be closed;
    ///         the connection is not added then
    bool add(pooled_connection& added);

    /// Removes a connection; no effect if it is not in the pool.
    void remove(pooled_connection& removed);

    /// Records what a connection does and how much memory it holds.
    /// @param updated a connection of the pool
    /// @param phase what it does
    /// @param held_bytes the memory that it holds
    /// @return false if the memory does not suffice and the connection itself
    ///         has to give way
    [[nodiscard]] bool update(pooled_connection& updated,
                              connection_phase phase, std::size_t held_bytes);

    std::size_t connections() const { return entries_.size(); }
    std::size_t held_bytes() const { return held_bytes_; }

private:
    struct entry
    {
        pooled_connection* connection;
        connection_phase phase;
        std::size_t held_bytes;
    };

    using entry_list = std::list<entry>;

    /// @return the connection to close for another one; end() if there is none
    entry_list::iterator longest_waiting();
    /// @return the connection to close for its memory; end() if there is none
    entry_list::iterator largest();
    /// Closes a connection and logs why.
    void evict(entry_list::iterator victim, char const* reason);

    connection_limits limits_;
    entry_list entries_; ///< the one that was updated last is the last one
    std::unordered_map<pooled_connection const*, entry_list::iterator> index_;
    std::size_t held_bytes_ = 0;
};

} // namespace sequoiaroute::event
