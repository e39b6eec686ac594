#include "support/raw_socket.hpp"

#include <array>
#include <cerrno>
#include <charconv>
#include <system_error>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sequoiaroute::support {

namespace {

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::uint16_t port_of(int descriptor)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

} // namespace

raw_socket::raw_socket(std::string_view address)
    : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto const port_text = address.substr(address.rfind(':') + 1);
    std::uint16_t port = 0;
    std::from_chars(port_text.data(), port_text.data() + port_text.size(),
                    port);
    auto const target = loopback(port);
    if (connect(descriptor_, reinterpret_cast<sockaddr const*>(&target),
                sizeof(target)) != 0)
        throw std::system_error(errno, std::generic_category(), "connect");
}

raw_socket::raw_socket(raw_socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{
}

raw_socket::~raw_socket()
{
    if (descriptor_ >= 0)
        close(descriptor_);
}

bool raw_socket::send(std::string_view bytes) const
{
    return ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0;
}

std::string raw_socket::receive_some() const
{
    std::array<char, 4096> buffer{};
    auto const count = recv(descriptor_, buffer.data(), buffer.size(), 0);
    return {buffer.data(), count < 0 ? 0 : static_cast<std::size_t>(count)};
}

std::string raw_socket::receive_all(core::duration timeout) const
{
    core::system_clock const clock;
    auto const deadline = clock.now() + timeout;
    std::string received;
    while (clock.now() < deadline) {
        pollfd watched{descriptor_, POLLIN, 0};
        auto const remaining = deadline - clock.now();
        if (poll(&watched, 1, static_cast<int>(remaining.count())) <= 0)
            break;
        auto const piece = receive_some();
        if (piece.empty())
            break;
        received += piece;
    }
    return received;
}

raw_listener::raw_listener(int backlog)
    : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto const address = loopback(0);
    if (bind(descriptor_, reinterpret_cast<sockaddr const*>(&address),
             sizeof(address)) != 0 ||
        listen(descriptor_, backlog) != 0)
        throw std::system_error(errno, std::generic_category(), "listen");
}

raw_listener::~raw_listener()
{
    close(descriptor_);
}

std::string raw_listener::address() const
{
    return "127.0.0.1:" + std::to_string(port_of(descriptor_));
}

raw_socket raw_listener::accept() const
{
    return raw_socket(::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC));
}

std::uint16_t free_port()
{
    raw_listener const listener;
    auto const address = listener.address();
    std::uint16_t port = 0;
    auto const text = std::string_view(address).substr(address.find(':') + 1);
    std::from_chars(text.data(), text.data() + text.size(), port);
    return port;
}

} // namespace sequoiaroute::support
