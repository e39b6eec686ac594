#include "http.hpp"

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in make_address(std::string const& ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

bool send_all(int descriptor, std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        auto const count = send(descriptor, bytes.data() + sent,
                                bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

/// Reads messages from a connection.
class reader
{
public:
    explicit reader(int descriptor) : descriptor_(descriptor) {}

    /// @return the next message; nullopt if the connection ended before
    std::optional<http_message> next(bool is_response)
    {
        auto const first = line();
        if (!first)
            return std::nullopt;
        http_message message;
        parse_first_line(*first, is_response, message);
        while (true) {
            auto const header = line();
            if (!header)
                return std::nullopt;
            if (header->empty())
                break;
            auto const colon = header->find(':');
            if (colon == std::string::npos)
                continue;
            auto const text = header->find_first_not_of(' ', colon + 1);
            message.headers[to_lower(header->substr(0, colon))] =
                text == std::string::npos ? std::string()
                                          : header->substr(text);
        }
        auto const length = message.headers.find("content-length");
        if (length == message.headers.end())
            return message;
        auto const size = std::strtoul(length->second.c_str(), nullptr, 10);
        while (buffer_.size() < size) {
            if (!receive())
                return std::nullopt;
        }
        message.body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return message;
    }

private:
    static void parse_first_line(std::string const& text, bool is_response,
                                 http_message& message)
    {
        auto const first = text.find(' ');
        auto const second = text.find(' ', first + 1);
        auto const middle = text.substr(first + 1, second - first - 1);
        if (is_response) {
            message.status = std::atoi(middle.c_str());
            return;
        }
        message.method = text.substr(0, first);
        auto const mark = middle.find('?');
        message.path = middle.substr(0, mark);
        if (mark != std::string::npos)
            message.query = middle.substr(mark + 1);
    }

    std::optional<std::string> line()
    {
        while (true) {
            if (auto const end = buffer_.find("\r\n");
                end != std::string::npos) {
                auto text = buffer_.substr(0, end);
                buffer_.erase(0, end + 2);
                return text;
            }
            if (!receive())
                return std::nullopt;
        }
    }

    bool receive()
    {
        char chunk[16384];
        auto const count = recv(descriptor_, chunk, sizeof(chunk), 0);
        if (count <= 0)
            return false;
        buffer_.append(chunk, static_cast<std::size_t>(count));
        return true;
    }

    int descriptor_;
    std::string buffer_;
};

std::string encode_body(http_message const& message)
{
    std::string text;
    for (auto const& [name, value] : message.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!message.body.empty())
        text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(message.body.size()) +
            "\r\n\r\n" + message.body;
    return text;
}

void serve_connection(int descriptor, http_handler const& handler)
{
    int const enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    reader requests(descriptor);
    while (auto const request = requests.next(false)) {
        auto const response = handler(*request);
        if (response.status == 0)
            break;
        if (!send_all(descriptor, "HTTP/1.1 " +
                                      std::to_string(response.status) +
                                      " Status\r\n" + encode_body(response)))
            break;
    }
    close(descriptor);
}

} // namespace

http_message json_response(int status, std::string body)
{
    http_message response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

std::string query_value(std::string const& query, std::string const& name)
{
    std::size_t begin = 0;
    while (begin < query.size()) {
        auto const end = std::min(query.find('&', begin), query.size());
        auto const part = query.substr(begin, end - begin);
        begin = end + 1;
        if (part.substr(0, part.find('=')) != name)
            continue;
        std::string decoded;
        for (auto index = name.size() + 1; index < part.size(); ++index) {
            if (part[index] == '%' && index + 2 < part.size()) {
                decoded.push_back(static_cast<char>(std::strtol(
                    part.substr(index + 1, 2).c_str(), nullptr, 16)));
                index += 2;
            } else {
                decoded.push_back(part[index]);
            }
        }
        return decoded;
    }
    return {};
}

bool can_listen(std::string const& ip, std::uint16_t port)
{
    int const listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const address = make_address(ip, port);
    bool const is_free =
        bind(listener, reinterpret_cast<sockaddr const*>(&address),
             sizeof(address)) == 0 &&
        listen(listener, 1) == 0;
    close(listener);
    return is_free;
}

void serve_http(std::string const& ip, std::uint16_t port, http_handler handler)
{
    int const listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    auto const address = make_address(ip, port);
    if (bind(listener, reinterpret_cast<sockaddr const*>(&address),
             sizeof(address)) != 0 ||
        listen(listener, 512) != 0) {
        std::perror("cannot listen");
        std::_Exit(2);
    }
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            int const accepted =
                accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0)
                std::thread([accepted, handler] {
                    serve_connection(accepted, handler);
                }).detach();
        }
    }).detach();
}

http_message call_http(std::string const& ip, std::uint16_t port,
                       http_message const& request, int time_limit_ms)
{
    http_message none;
    int const descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval const limit{time_limit_ms / 1000,
                        std::int64_t{time_limit_ms % 1000} * 1000};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    auto const address = make_address(ip, port);
    if (connect(descriptor, reinterpret_cast<sockaddr const*>(&address),
                sizeof(address)) == 0 &&
        send_all(descriptor, request.method + " " + request.path +
                                 " HTTP/1.1\r\n" + encode_body(request))) {
        if (auto response = reader(descriptor).next(true))
            none = std::move(*response);
    }
    close(descriptor);
    return none;
}

} // namespace review
