#pragma once

#include <stdexcept>
#include <string>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sequoiaroute::support {

/// @return a loopback address IP:PORT that nobody uses at present
/// @throws std::runtime_error if no port can be bound
inline std::string free_address()
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) != 0)
        throw std::runtime_error("cannot bind a loopback port");
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    ::close(descriptor);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

} // namespace sequoiaroute::support
