#include "http/receive_watchdog.hpp"

#include <charconv>
#include <cstring>
#include <filesystem>
#include <string>

#include <arpa/inet.h>
#include <civetweb.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace sequoiaroute::http {

namespace {

/// How often the deadlines are checked.
constexpr core::duration check_period{50};

/// @param query_address getpeername or getsockname
/// @return whether that end of an IPv4 socket has the port
bool has_port(int descriptor, decltype(&getpeername) query_address, int port)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    if (query_address(descriptor, reinterpret_cast<sockaddr*>(&address),
                      &length) != 0)
        return false;
    return address.sin_family == AF_INET && ntohs(address.sin_port) == port;
}

bool has_peer_address(int descriptor, char const* peer_address)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&address),
                    &length) != 0)
        return false;
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
    return std::strcmp(text, peer_address) == 0;
}

/// Finds the socket of a connection, which CivetWeb does not expose. The local
/// port, the peer's address and its port identify the socket among the open
/// descriptors of the process.
/// @return the descriptor; -1 if none matches
int find_socket(mg_connection const* connection)
{
    auto const* const request = mg_get_request_info(connection);
    std::error_code ignored_error;
    for (auto const& file :
         std::filesystem::directory_iterator("/proc/self/fd", ignored_error)) {
        auto const name = file.path().filename().string();
        int descriptor = -1;
        std::from_chars(name.data(), name.data() + name.size(), descriptor);
        if (has_port(descriptor, getpeername, request->remote_port) &&
            has_port(descriptor, getsockname, request->server_port) &&
            has_peer_address(descriptor, request->remote_addr))
            return descriptor;
    }
    return -1;
}

} // namespace

receive_watchdog::receive_watchdog()
    : subscription_(
          timers_.subscribe(check_period, [this] { shut_down_expired(); }))
{
}

int receive_watchdog::watch(mg_connection const* connection,
                            core::time_point deadline)
{
    int const descriptor = find_socket(connection);
    if (descriptor < 0)
        return -1;
    std::lock_guard const lock(mutex_);
    connections_[descriptor] = watched_connection{deadline};
    return descriptor;
}

bool receive_watchdog::release(int handle)
{
    std::lock_guard const lock(mutex_);
    auto const found = connections_.find(handle);
    if (found == connections_.end())
        return false;
    bool const was_shut_down = found->second.is_shut_down;
    connections_.erase(found);
    return was_shut_down;
}

void receive_watchdog::shut_down_expired()
{
    auto const now = clock_.now();
    std::lock_guard const lock(mutex_);
    for (auto& [descriptor, connection] : connections_) {
        if (connection.is_shut_down || connection.deadline > now)
            continue;
        connection.is_shut_down = true;
        shutdown(descriptor, SHUT_RD);
    }
}

} // namespace sequoiaroute::http
