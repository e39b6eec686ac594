#include "core/identifier.hpp"

#include <algorithm>
#include <cstdint>

#include <absl/random/random.h>
#include <absl/strings/ascii.h>
#include <fmt/format.h>
#include <xxhash.h>

namespace sequoiaroute::core {

namespace {

constexpr std::size_t max_identifier_length = 64;

} // namespace

std::string make_identifier()
{
    absl::BitGen generator;
    return fmt::format("{:016x}{:016x}",
                       absl::Uniform<std::uint64_t>(generator),
                       absl::Uniform<std::uint64_t>(generator));
}

bool is_identifier(std::string_view text)
{
    if (text.empty() || text.size() > max_identifier_length)
        return false;
    // HTTP clients and servers remove dot segments from paths, so these two
    // would address the path of another id.
    if (text == "." || text == "..")
        return false;
    return std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return absl::ascii_isalnum(character) || character == '-' ||
               character == '_' || character == '.';
    });
}

std::string digest(std::string_view bytes)
{
    return fmt::format("{:016x}", XXH3_64bits(bytes.data(), bytes.size()));
}

bool is_equal_constant_time(std::string_view left, std::string_view right)
{
    unsigned difference = left.size() == right.size() ? 0U : 1U;
    for (std::size_t index = 0; index < left.size(); ++index) {
        auto const right_byte =
            right.empty() ? '\0' : right[index % right.size()];
        difference |= static_cast<unsigned char>(left[index]) ^
                      static_cast<unsigned char>(right_byte);
    }
    return difference == 0;
}

} // namespace sequoiaroute::core
