#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace sequoiaroute::fuzz {

/// A function of the system that reads what another program has written.
struct decoder
{
    std::string name;
    std::function<void(std::string_view)> read;
};

/// @return all decoders; none may end the process, whatever it reads
std::span<decoder const> decoders();

} // namespace sequoiaroute::fuzz
