#pragma once

#include <stdexcept>
#include <string>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sequoiaroute::support {

/// @return a loopback address IP:PORT that was free a moment ago
inline std::string free_address()
{
    int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), length) != 0)
        throw std::runtime_error("cannot bind a loopback port");
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
    ::close(socket);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

} // namespace sequoiaroute::support
