#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiaroute::core {

/// The address of a TCP server.
struct socket_address
{
    std::string host; ///< IPv4 address in dotted decimal notation
    std::uint16_t port = 0;
};

/// Parses an address of the form IP:PORT. Names of hosts are not accepted,
/// since no process looks them up.
/// @param text the text to parse
/// @return the address; nullopt if the text is not an IPv4 address with a port
///         from 1 to 65535
std::optional<socket_address> parse_address(std::string_view text);

} // namespace sequoiaroute::core
