#include "event/http_message.hpp"

#include <array>
#include <ctime>
#include <iterator>
#include <string_view>

#include <event2/util.h>
#include <fmt/format.h>

namespace sequoiaroute::event {

namespace {

std::string_view reason_phrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 410:
        return "Gone";
    case 412:
        return "Precondition Failed";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Unknown";
    }
}

/// @return the time of day as in the Date header
std::string date_text()
{
    std::array<char, 64> text{};
    // Without a time, libevent takes the present one.
    int const length = evutil_date_rfc1123(text.data(), text.size(), nullptr);
    return {text.data(), length < 0 ? 0 : static_cast<std::size_t>(length)};
}

} // namespace

std::string encode(http_response const& response, bool has_body, bool is_last)
{
    std::string text;
    auto output = std::back_inserter(text);
    fmt::format_to(output,
                   "HTTP/1.1 {} {}\r\nDate: {}\r\nContent-Length: {}\r\n",
                   response.status, reason_phrase(response.status), date_text(),
                   response.body.size());
    for (auto const& [name, value] : response.headers)
        fmt::format_to(output, "{}: {}\r\n", name, value);
    if (!response.body.empty())
        fmt::format_to(output, "Content-Type: {}\r\n", response.content_type);
    if (is_last)
        text += "Connection: close\r\n";
    text += "\r\n";
    if (has_body)
        text += response.body;
    return text;
}

} // namespace sequoiaroute::event
