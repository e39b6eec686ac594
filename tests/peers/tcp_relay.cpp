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

tcp_relay::tcp_relay(std::string const& target)
    : target_(target), address_(support::free_address()),
      listener_(::socket(AF_INET, SOCK_STREAM, 0))
{
    auto const own = to_socket_address(address_);
    if (::bind(listener_, reinterpret_cast<sockaddr const*>(&own),
               sizeof(own)) != 0)
        throw std::runtime_error("cannot bind the relay");
    ::listen(listener_, 16);
    thread_ = std::thread([this] { run(); });
}

tcp_relay::~tcp_relay()
{
    is_stopping_ = true;
    thread_.join();
    for (auto const& pair : pairs_) {
        ::close(pair.client);
        ::close(pair.server);
    }
    ::close(listener_);
}

void tcp_relay::accept()
{
    int const client = ::accept(listener_, nullptr, nullptr);
    int const server = ::socket(AF_INET, SOCK_STREAM, 0);
    auto const target = to_socket_address(target_);
    if (is_refusing_ ||
        ::connect(server, reinterpret_cast<sockaddr const*>(&target),
                  sizeof(target)) != 0) {
        ::close(client);
        ::close(server);
        return;
    }
    pairs_.push_back({client, server, false});
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
    if (wants_silence_.exchange(false)) {
        for (auto& pair : pairs_)
            pair.is_silent = true;
    }
    if (wants_break_.exchange(false)) {
        for (auto const& pair : pairs_) {
            ::close(pair.client);
            ::close(pair.server);
        }
        pairs_.clear();
    }
}

void tcp_relay::run()
{
    while (!is_stopping_) {
        apply_faults();
        std::vector<pollfd> waits{{listener_, POLLIN, 0}};
        for (auto const& pair : pairs_) {
            short const events = pair.is_silent ? 0 : POLLIN;
            waits.push_back({pair.client, events, 0});
            waits.push_back({pair.server, events, 0});
        }
        ::poll(waits.data(), waits.size(), poll_period_ms);
        std::size_t index = 1;
        for (auto current = pairs_.begin(); current != pairs_.end();
             index += 2) {
            bool is_open = true;
            if ((waits[index].revents & POLLIN) != 0)
                is_open = forward(current->client, current->server);
            if (is_open && (waits[index + 1].revents & POLLIN) != 0)
                is_open = forward(current->server, current->client);
            if (is_open) {
                ++current;
                continue;
            }
            ::close(current->client);
            ::close(current->server);
            current = pairs_.erase(current);
        }
        if ((waits[0].revents & POLLIN) != 0)
            accept();
    }
}

} // namespace sequoiaroute::peers
