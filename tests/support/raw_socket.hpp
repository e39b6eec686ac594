#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiaroute::support {

/// A connected TCP socket, for tests of the bytes below HTTP.
class raw_socket
{
public:
    /// Connects to a port of the loopback address.
    /// @param address IP:PORT; the IP is ignored
    /// @throws std::system_error if the connection fails
    explicit raw_socket(std::string_view address);
    /// Takes ownership of a connected socket.
    explicit raw_socket(int descriptor) : descriptor_(descriptor) {}
    raw_socket(raw_socket&& other) noexcept;
    raw_socket& operator=(raw_socket&&) = delete;
    ~raw_socket();

    /// @return false if the send call failed, as after the peer has closed the
    ///         connection
    bool send(std::string_view bytes) const;
    /// @return the bytes of one receive call; empty at the end or on an error
    std::string receive_some() const;
    /// @return all bytes until the peer closes or the timeout expires
    std::string receive_all(core::duration timeout) const;

private:
    int descriptor_;
};

/// A listening TCP socket on a free loopback port.
class raw_listener
{
public:
    /// @param backlog how many connections may wait to be accepted
    /// @throws std::system_error if it cannot listen
    explicit raw_listener(int backlog = 16);
    raw_listener(raw_listener const&) = delete;
    raw_listener& operator=(raw_listener const&) = delete;
    ~raw_listener();

    std::string address() const; ///< IP:PORT
    /// Waits for a connection.
    raw_socket accept() const;

private:
    int descriptor_;
};

/// @return a loopback port that nobody uses at present
std::uint16_t free_port();

} // namespace sequoiaroute::support
