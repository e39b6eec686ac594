#include "http.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

using clock = std::chrono::steady_clock;

sockaddr_in parse_address(std::string const& address)
{
    auto const colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(
        std::strtol(address.c_str() + colon + 1, nullptr, 10)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    return parsed;
}

bool send_all(int descriptor, std::string const& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        auto const count = send(descriptor, text.data() + sent,
                                text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](char letter) {
        return static_cast<char>(
            std::tolower(static_cast<unsigned char>(letter)));
    });
    return text;
}

std::string decode_percent(std::string const& text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            decoded.push_back(static_cast<char>(
                std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16)));
            index += 2;
        } else {
            decoded.push_back(text[index]);
        }
    }
    return decoded;
}

std::map<std::string, std::string> parse_query(std::string const& text)
{
    std::map<std::string, std::string> query;
    std::size_t begin = 0;
    while (begin < text.size()) {
        auto const end = std::min(text.find('&', begin), text.size());
        auto const part = text.substr(begin, end - begin);
        auto const equals = std::min(part.find('='), part.size());
        auto const value =
            equals < part.size() ? part.substr(equals + 1) : std::string();
        query[part.substr(0, equals)] = decode_percent(value);
        begin = end + 1;
    }
    return query;
}

/// The first line, the headers and the body of a message.
struct message
{
    std::string first_line;
    std::map<std::string, std::string> headers;
    std::string body;
};

std::map<std::string, std::string> parse_headers(std::string const& head)
{
    std::map<std::string, std::string> headers;
    auto begin = head.find("\r\n");
    while (begin != std::string::npos && begin + 2 < head.size()) {
        begin += 2;
        auto const end = std::min(head.find("\r\n", begin), head.size());
        auto const line = head.substr(begin, end - begin);
        auto const colon = line.find(':');
        if (colon != std::string::npos) {
            auto const value = line.find_first_not_of(' ', colon + 1);
            headers[to_lower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
        begin = end == head.size() ? std::string::npos : end;
    }
    return headers;
}

/// Takes a whole message from the front of a buffer.
std::optional<message> take_message(std::string& buffer)
{
    auto const head_end = buffer.find("\r\n\r\n");
    if (head_end == std::string::npos)
        return std::nullopt;
    message taken;
    auto const head = buffer.substr(0, head_end);
    taken.first_line = head.substr(0, head.find("\r\n"));
    taken.headers = parse_headers(head);
    std::size_t length = 0;
    if (auto const found = taken.headers.find("content-length");
        found != taken.headers.end())
        length = std::strtoul(found->second.c_str(), nullptr, 10);
    if (buffer.size() < head_end + 4 + length)
        return std::nullopt;
    taken.body = buffer.substr(head_end + 4, length);
    buffer.erase(0, head_end + 4 + length);
    return taken;
}

/// @return whether more bytes were added to the buffer
bool receive_more(int descriptor, std::string& buffer, clock::time_point until)
{
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - clock::now());
    pollfd waiting{descriptor, POLLIN, 0};
    if (left.count() <= 0 ||
        poll(&waiting, 1, static_cast<int>(left.count())) <= 0)
        return false;
    char bytes[16384];
    auto const count = recv(descriptor, bytes, sizeof(bytes), 0);
    if (count <= 0)
        return false;
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

http_request to_request(message received)
{
    http_request request;
    auto const& line = received.first_line;
    auto const first = line.find(' ');
    auto const second = line.find(' ', first + 1);
    request.method = line.substr(0, first);
    auto const target = line.substr(first + 1, second - first - 1);
    auto const mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos)
        request.query = parse_query(target.substr(mark + 1));
    request.headers = std::move(received.headers);
    request.body = std::move(received.body);
    return request;
}

std::string to_text(http_response const& response)
{
    return "HTTP/1.1 " + std::to_string(response.status) +
           " Status\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

} // namespace

std::string http_request::header(std::string const& name) const
{
    auto const found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

std::string http_request::parameter(std::string const& name) const
{
    auto const found = query.find(name);
    return found == query.end() ? "" : found->second;
}

http_result call_http(std::string const& address, std::string const& method,
                      std::string const& target,
                      std::map<std::string, std::string> const& headers,
                      std::string const& body, int timeout_ms)
{
    auto const until = clock::now() + std::chrono::milliseconds(timeout_ms);
    auto const remote = parse_address(address);
    int const descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    http_result result;
    sockaddr generic{};
    std::memcpy(&generic, &remote, sizeof(generic));
    if (connect(descriptor, &generic, sizeof(generic)) == 0) {
        std::string text = method + " " + target + " HTTP/1.1\r\n";
        if (!headers.contains("Host"))
            text += "Host: " + address + "\r\n";
        for (auto const& [name, value] : headers)
            text.append(name).append(": ").append(value).append("\r\n");
        text += "Content-Length: " + std::to_string(body.size()) +
                "\r\nConnection: close\r\n\r\n" + body;
        std::string buffer;
        std::optional<message> received;
        if (send_all(descriptor, text)) {
            while (!(received = take_message(buffer))) {
                if (!receive_more(descriptor, buffer, until))
                    break;
            }
        }
        if (received && received->first_line.size() > 9) {
            result.status = static_cast<int>(
                std::strtol(received->first_line.c_str() + 9, nullptr, 10));
            result.body = std::move(received->body);
        }
    }
    close(descriptor);
    return result;
}

http_server::http_server(std::string const& address, handler handle)
    : handle_(std::move(handle))
{
    auto const local = parse_address(address);
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr generic{};
    std::memcpy(&generic, &local, sizeof(generic));
    if (bind(listener_, &generic, sizeof(generic)) != 0 ||
        listen(listener_, 128) != 0) {
        close(listener_);
        throw std::runtime_error("cannot listen on " + address);
    }
    acceptor_ = std::thread([this] { accept_connections(); });
}

http_server::~http_server()
{
    is_stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
    {
        std::lock_guard const lock(mutex_);
        for (auto const& client : connections_)
            shutdown(client.descriptor, SHUT_RDWR);
    }
    for (auto& client : connections_) {
        client.thread.join();
        close(client.descriptor);
    }
}

void http_server::accept_connections()
{
    while (!is_stopping_) {
        int const descriptor =
            accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        int const on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::lock_guard const lock(mutex_);
        for (auto next = connections_.begin(); next != connections_.end();) {
            auto const current = next++;
            if (!current->is_done)
                continue;
            current->thread.join();
            close(current->descriptor);
            connections_.erase(current);
        }
        auto& client = connections_.emplace_back();
        client.descriptor = descriptor;
        client.thread = std::thread([this, &client] { serve(client); });
    }
}

void http_server::serve(connection& client)
{
    constexpr auto idle_time = std::chrono::seconds(300);
    std::string buffer;
    bool is_open = true;
    while (is_open && !is_stopping_) {
        auto received = take_message(buffer);
        if (!received) {
            is_open = receive_more(client.descriptor, buffer,
                                   clock::now() + idle_time);
            continue;
        }
        auto const response = handle_(to_request(std::move(*received)));
        if (response) {
            is_open = send_all(client.descriptor, to_text(*response));
            continue;
        }
        while (
            receive_more(client.descriptor, buffer, clock::now() + idle_time))
            buffer.clear();
        is_open = false;
    }
    shutdown(client.descriptor, SHUT_RDWR);
    std::lock_guard const lock(mutex_);
    client.is_done = true;
}

} // namespace review
