#include "clients/client_crowd.hpp"

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sequoiaroute::clients {

namespace {

using namespace std::chrono_literals;

constexpr auto quiet_time = 1s;
/// Ends a run in which a server takes bytes without end.
constexpr auto longest_run = 60s;
constexpr int poll_milliseconds = 50;
constexpr std::size_t repetition_bytes = 65'536;
/// Answers that nobody reads fill the server's buffers sooner.
constexpr int receive_buffer_bytes = 4096;

sockaddr_in to_sockaddr(std::string const& address)
{
    auto const colon = address.find(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

} // namespace

client_crowd::client_crowd(crowd_plan plan)
    : plan_(std::move(plan)), payload_(plan_.head),
      members_(plan_.connection_count)
{
    if (plan_.repeat.empty())
        return;
    while (payload_.size() < plan_.head.size() + repetition_bytes)
        payload_ += plan_.repeat;
}

client_crowd::~client_crowd()
{
    for (auto const& closed : members_) {
        if (closed.descriptor >= 0)
            close(closed.descriptor);
    }
}

void client_crowd::run()
{
    for (auto& opened : members_) {
        opened.remaining_reconnects = plan_.reconnect_count;
        connect(opened);
    }
    auto const end = clock::now() + longest_run;
    last_progress_ = clock::now();
    std::vector<pollfd> watched;
    while (clock::now() < end && clock::now() - last_progress_ < quiet_time) {
        watched.clear();
        for (auto const& sender : members_) {
            watched.push_back(
                {sender.is_done ? -1 : sender.descriptor, POLLOUT, 0});
        }
        bool const is_finished =
            std::all_of(members_.begin(), members_.end(),
                        [](member const& sender) { return sender.is_done; });
        if (is_finished)
            return;
        poll(watched.data(), watched.size(), poll_milliseconds);
        for (std::size_t index = 0; index < members_.size(); ++index) {
            if (watched[index].revents != 0)
                send_some(members_[index]);
        }
    }
}

void client_crowd::connect(member& opened) const
{
    opened.descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (opened.descriptor < 0)
        throw std::system_error(errno, std::generic_category(), "socket");
    setsockopt(opened.descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
               sizeof(receive_buffer_bytes));
    auto const target = to_sockaddr(plan_.address);
    // A refused connection shows as an error of the first send call.
    static_cast<void>(::connect(opened.descriptor,
                                reinterpret_cast<sockaddr const*>(&target),
                                sizeof(target)));
    opened.sent_bytes = 0;
}

void client_crowd::send_some(member& sender)
{
    auto const head_bytes = plan_.head.size();
    auto const cycle_bytes = payload_.size() - head_bytes;
    while (sender.sent_bytes < plan_.bytes_per_connection) {
        auto offset = sender.sent_bytes;
        if (offset >= head_bytes && cycle_bytes > 0)
            offset = head_bytes + (offset - head_bytes) % cycle_bytes;
        auto const length =
            std::min(payload_.size() - offset,
                     plan_.bytes_per_connection - sender.sent_bytes);
        auto const count = send(sender.descriptor, payload_.data() + offset,
                                length, MSG_NOSIGNAL);
        if (count < 0) {
            if (errno != EAGAIN && errno != EINTR)
                reconnect(sender);
            return;
        }
        sender.sent_bytes += static_cast<std::size_t>(count);
        last_progress_ = clock::now();
    }
    sender.is_done = true;
}

void client_crowd::reconnect(member& closed) const
{
    if (closed.remaining_reconnects == 0) {
        closed.is_done = true;
        return;
    }
    --closed.remaining_reconnects;
    close(closed.descriptor);
    connect(closed);
}

} // namespace sequoiaroute::clients
