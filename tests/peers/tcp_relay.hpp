#pragma once

#include <atomic>
#include <list>
#include <string>
#include <thread>

namespace sequoiaroute::peers {

/// A TCP proxy for one server that injects network faults. It can stop
/// forwarding data on its open connections without closing them, close them, or
/// refuse new ones.
class tcp_relay
{
public:
    /// Starts to listen on a free loopback port.
    /// @param upstream the server as IP:PORT; its port is used on loopback
    explicit tcp_relay(std::string const& upstream);
    tcp_relay(tcp_relay const&) = delete;
    tcp_relay& operator=(tcp_relay const&) = delete;
    ~tcp_relay();

    /// @return the IP:PORT on which the relay listens
    std::string const& address() const { return address_; }

    /// Stops forwarding data on the open connections, but keeps them open.
    void silence_open_connections() { is_silence_requested_ = true; }

    /// Closes the open connections on both sides.
    void break_open_connections() { is_break_requested_ = true; }

    /// Closes each new connection as soon as it is accepted.
    void refuse_new_connections() { is_refusing_ = true; }

private:
    struct connection
    {
        int client;     ///< socket to the client
        int server;     ///< socket to the upstream server
        bool is_silent; ///< no data is forwarded
    };

    void forward_until_stopped();
    void accept();
    void apply_faults();
    /// Forwards the data that can be read from a socket.
    /// @return false if either side closed the connection
    static bool forward(int from, int to);

    std::string upstream_;
    std::string address_;
    int listener_;
    std::list<connection> connections_;
    std::atomic<bool> is_silence_requested_ = false;
    std::atomic<bool> is_break_requested_ = false;
    std::atomic<bool> is_refusing_ = false;
    std::atomic<bool> is_stopping_ = false;
    std::thread thread_;
};

} // namespace sequoiaroute::peers
