#include "core/address.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace sequoiaroute::core {

std::optional<socket_address> parse_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    socket_address parsed;
    parsed.host = std::string(text.substr(0, colon));
    in_addr binary{};
    if (inet_pton(AF_INET, parsed.host.c_str(), &binary) != 1 ||
        parsed.host.size() != colon)
        return std::nullopt;
    auto const digits = text.substr(colon + 1);
    auto const* const digits_end = digits.data() + digits.size();
    auto const [end, error_code] =
        std::from_chars(digits.data(), digits_end, parsed.port);
    if (error_code != std::errc() || end != digits_end || parsed.port == 0)
        return std::nullopt;
    return parsed;
}

} // namespace sequoiaroute::core
