#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiaroute::support {

/// A connected TCP socket for tests that work below HTTP.
class raw_socket
{
public:
    /// Connects to an address.
    /// @param address IP:PORT
    explicit raw_socket(std::string_view address);
    /// Takes over a connected socket.
    explicit raw_socket(int descriptor) : descriptor_(descriptor) {}
    raw_socket(raw_socket&& other) noexcept;
    raw_socket& operator=(raw_socket&&) = delete;
    ~raw_socket();

    /// @return false if the peer has closed the connection
    bool send(std::string_view bytes) const;
    /// @return the bytes of one receive call, empty at the end
    std::string receive_some() const;
    /// @return all bytes until the peer closes or the limit passes
    std::string receive_all(core::duration limit) const;

private:
    int descriptor_;
};

/// A listening TCP socket on a free loopback port.
class raw_listener
{
public:
    /// @param backlog how many connections may wait to be accepted
    explicit raw_listener(int backlog = 16);
    raw_listener(raw_listener const&) = delete;
    raw_listener& operator=(raw_listener const&) = delete;
    ~raw_listener();

    std::string address() const;
    raw_socket accept() const;

private:
    int descriptor_;
};

/// @return a loopback port that was free a moment ago
std::uint16_t free_port();

} // namespace sequoiaroute::support
