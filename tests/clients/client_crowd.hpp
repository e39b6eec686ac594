#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace sequoiaroute::clients {

/// What each connection of a crowd sends.
struct crowd_plan
{
    std::string address; ///< IP:PORT on the loopback interface
    std::size_t connection_count = 0;
    std::string head;   ///< sent once on each connection
    std::string repeat; ///< sent after it, again and again; may be empty
    /// The length of head and repetitions together, of one connection.
    std::size_t bytes_per_connection = 0;
    /// How often a connection is opened anew after the server has closed it.
    int reconnect_count = 1;
};

/// Connections that send without reading. They stay open until the crowd is
/// destroyed.
class client_crowd
{
public:
    explicit client_crowd(crowd_plan plan);
    client_crowd(client_crowd const&) = delete;
    client_crowd& operator=(client_crowd const&) = delete;
    ~client_crowd();

    /// Connects and sends until all is sent, or until no connection has made
    /// progress for a second.
    /// @throws std::system_error if a socket cannot be created
    void run();

private:
    using clock = std::chrono::steady_clock;

    struct member
    {
        int descriptor = -1;
        std::size_t sent_bytes = 0;
        int remaining_reconnects = 0;
        bool is_done = false;
    };

    /// Opens the connection of a member without waiting for it.
    void connect(member& opened) const;
    /// Sends as much as the connection takes.
    void send_some(member& sender);
    /// Replaces a connection that the server has closed, or gives it up.
    void reconnect(member& closed) const;

    crowd_plan plan_;
    std::string payload_; ///< the head, and repetitions of at least 64 KB
    std::vector<member> members_;
    clock::time_point last_progress_;
};

} // namespace sequoiaroute::clients
