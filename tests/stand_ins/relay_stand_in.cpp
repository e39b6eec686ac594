// A TCP relay that simulates a network which loses all bytes without closing
// the connection. The fault "mode" is "pass", "swallow" (the connections that
// exist now lose all bytes, new ones pass) or "cut" (the existing connections
// lose all bytes, and new ones are accepted but not connected to the target). A
// connection that has begun to lose bytes never passes any again.
#include "stand_ins/control.hpp"

#include <array>
#include <atomic>
#include <charconv>
#include <cstdio>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

ABSL_FLAG(std::string, address, "", "IP:PORT to listen on");
ABSL_FLAG(std::string, forward, "", "IP:PORT of the target");
ABSL_FLAG(std::string, control, "", "IP:PORT of the control interface");

namespace {

constexpr int listen_backlog = 64;
constexpr std::size_t control_thread_count = 4;

sockaddr_in parse_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    std::uint16_t port = 0;
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

/// The sockets to the client and to the target of a relayed connection. The
/// threads that forward its bytes share it; the last one closes the sockets.
struct relayed_connection
{
    relayed_connection() = default;
    relayed_connection(relayed_connection const&) = delete;
    relayed_connection& operator=(relayed_connection const&) = delete;
    ~relayed_connection()
    {
        close(client);
        close(target);
    }

    int client = -1;
    int target = -1; ///< -1 if the relay is cut
    std::atomic<bool> loses_bytes{false};
};

using connection_list = std::vector<std::weak_ptr<relayed_connection>>;

/// Forwards bytes from one socket to another until the sender closes, or
/// discards them while the connection loses bytes.
void forward_bytes(std::shared_ptr<relayed_connection> const& connection,
                   int from, int to)
{
    std::array<char, 65'536> buffer{};
    while (true) {
        auto const count = recv(from, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            break;
        if (connection->loses_bytes)
            continue;
        if (send(to, buffer.data(), static_cast<std::size_t>(count),
                 MSG_NOSIGNAL) != count)
            break;
    }
    // A connection that loses bytes must not pass on the close either.
    if (!connection->loses_bytes)
        shutdown(to, SHUT_WR);
}

class relay
{
public:
    /// Sets the mode "pass", "swallow" or "cut".
    void set_mode(std::string const& mode)
    {
        std::lock_guard const lock(mutex_);
        is_cut_ = mode == "cut";
        if (mode == "pass")
            return;
        for (auto const& weak_connection : connections_) {
            if (auto const connection = weak_connection.lock())
                connection->loses_bytes = true;
        }
        connections_.clear();
    }

    /// Connects an accepted client to the target, or only keeps it open if the
    /// relay is cut. Closes it if the target refuses the connection.
    void add_client(int client, sockaddr_in const& target_address)
    {
        auto const connection = std::make_shared<relayed_connection>();
        connection->client = client;
        std::lock_guard const lock(mutex_);
        connection->loses_bytes = is_cut_;
        if (!is_cut_) {
            connection->target = socket(AF_INET, SOCK_STREAM, 0);
            if (connect(connection->target,
                        reinterpret_cast<sockaddr const*>(&target_address),
                        sizeof(target_address)) != 0)
                return;
            start_forwarding(connection, connection->target, client);
        }
        start_forwarding(connection, client, connection->target);
        connections_.push_back(connection);
    }

private:
    static void
    start_forwarding(std::shared_ptr<relayed_connection> const& connection,
                     int from, int to)
    {
        std::thread([connection, from, to] {
            forward_bytes(connection, from, to);
        }).detach();
    }

    std::mutex mutex_;
    bool is_cut_ = false;
    connection_list connections_;
};

} // namespace

int main(int argument_count, char** arguments)
{
    using namespace sequoiaroute::stand_ins;
    absl::ParseCommandLine(argument_count, arguments);
    relay relay;
    auto const server =
        start_server(absl::GetFlag(FLAGS_control), control_thread_count);
    server->route("POST", "/control/faults",
                  json_handler([&](auto const& body) {
                      relay.set_mode(body.at("mode"));
                      return json_response(body);
                  }));
    auto const listen_address = parse_address(absl::GetFlag(FLAGS_address));
    auto const target_address = parse_address(absl::GetFlag(FLAGS_forward));
    int const listener = socket(AF_INET, SOCK_STREAM, 0);
    int const reuse_address = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse_address,
               sizeof(reuse_address));
    if (bind(listener, reinterpret_cast<sockaddr const*>(&listen_address),
             sizeof(listen_address)) != 0 ||
        listen(listener, listen_backlog) != 0) {
        std::perror("cannot listen");
        return 1;
    }
    while (true) {
        int const client = accept(listener, nullptr, nullptr);
        if (client >= 0)
            relay.add_client(client, target_address);
    }
}
