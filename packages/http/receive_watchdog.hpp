#pragma once

#include "core/clock.hpp"
#include "core/timer_service.hpp"

#include <map>
#include <memory>
#include <mutex>

struct mg_connection;

namespace sequoiaroute::http {

/// Shuts down the receiving side of connections whose request body is not
/// received in time. CivetWeb limits only the time between two reads of a body,
/// so a client that sends one byte at a time would hold a thread indefinitely.
class receive_watchdog
{
public:
    receive_watchdog();

    /// Starts to watch a connection.
    /// @param connection the connection, whose socket must stay open until
    ///        release()
    /// @param deadline when to shut down its receiving side
    /// @return a handle for release(); -1 if the socket was not found
    int watch(mg_connection const* connection, core::time_point deadline);

    /// Stops watching a connection.
    /// @param handle the handle that watch() returned
    /// @return whether the receiving side has been shut down
    bool release(int handle);

private:
    struct watched_connection
    {
        core::time_point deadline;
        bool is_shut_down = false;
    };

    /// Shuts down the connections whose deadline has passed.
    void shut_down_expired();

    core::system_clock clock_;
    std::mutex mutex_;
    std::map<int, watched_connection> connections_; ///< by descriptor
    core::timer_service timers_{1};
    std::unique_ptr<core::timer_service::subscription> subscription_;
};

} // namespace sequoiaroute::http
