#include "peers/tcp_relay.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <stdexcept>
#include <vector>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/free_address.hpp"

namespace sequoiaroute::peers {

namespace {

constexpr int poll_period_ms = 5;

sockaddr_in to_socket_address(std::string const& address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    result.sin_port = htons(static_cast<std::uint16_t>(
        std::stoi(address.substr(address.find(':') + 1))));
    return result;
}

} // namespace

tcp_relay::tcp_relay(std::string const& upstream)
    : upstream_(upstream), address_(support::free_address()),
      listener_(::socket(AF_INET, SOCK_STREAM, 0))
{
    auto const own = to_socket_address(address_);
    if (::bind(listener_, reinterpret_cast<sockaddr const*>(&own),
               sizeof(own)) != 0)
        throw std::runtime_error("cannot bind the listening socket of the "
                                 "relay");
    ::listen(listener_, 16);
    thread_ = std::thread([this] { forward_until_stopped(); });
}

tcp_relay::~tcp_relay()
{
    is_stopping_ = true;
    thread_.join();
    for (auto const& connection : connections_) {
        ::close(connection.client);
        ::close(connection.server);
    }
    ::close(listener_);
}

void tcp_relay::accept()
{
    int const client = ::accept(listener_, nullptr, nullptr);
    int const server = ::socket(AF_INET, SOCK_STREAM, 0);
    auto const upstream = to_socket_address(upstream_);
    if (is_refusing_ ||
        ::connect(server, reinterpret_cast<sockaddr const*>(&upstream),
                  sizeof(upstream)) != 0) {
        ::close(client);
        ::close(server);
        return;
    }
    connections_.push_back({client, server, false});
}

bool tcp_relay::forward(int from, int to)
{
    std::array<char, 65536> buffer{};
    auto const count = ::recv(from, buffer.data(), buffer.size(), 0);
    if (count <= 0)
        return false;
    return ::send(to, buffer.data(), static_cast<std::size_t>(count),
                  MSG_NOSIGNAL) == count;
}

void tcp_relay::apply_faults()
{
    if (is_silence_requested_.exchange(false)) {
        for (auto& connection : connections_)
            connection.is_silent = true;
    }
    if (is_break_requested_.exchange(false)) {
        for (auto const& connection : connections_) {
            ::close(connection.client);
            ::close(connection.server);
        }
        connections_.clear();
    }
}

void tcp_relay::forward_until_stopped()
{
    while (!is_stopping_) {
        apply_faults();
        std::vector<pollfd> poll_entries{{listener_, POLLIN, 0}};
        for (auto const& connection : connections_) {
            short const events = connection.is_silent ? 0 : POLLIN;
            poll_entries.push_back({connection.client, events, 0});
            poll_entries.push_back({connection.server, events, 0});
        }
        ::poll(poll_entries.data(), poll_entries.size(), poll_period_ms);
        std::size_t index = 1;
        for (auto current = connections_.begin(); current != connections_.end();
             index += 2) {
            bool is_open = true;
            if ((poll_entries[index].revents & POLLIN) != 0)
                is_open = forward(current->client, current->server);
            if (is_open && (poll_entries[index + 1].revents & POLLIN) != 0)
                is_open = forward(current->server, current->client);
            if (is_open) {
                ++current;
                continue;
            }
            ::close(current->client);
            ::close(current->server);
            current = connections_.erase(current);
        }
        if ((poll_entries[0].revents & POLLIN) != 0)
            accept();
    }
}

} // namespace sequoiaroute::peers
