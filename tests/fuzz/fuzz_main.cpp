#include "fuzz/decoders.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdlib>

/// Entry point of libFuzzer, which gives its name. The variable DECODER names
/// the decoder.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    using namespace sequoiaroute::fuzz;
    static decoder const& chosen = []() -> decoder const& {
        auto const* const name = std::getenv("DECODER");
        auto const list = decoders();
        auto const found =
            std::find_if(list.begin(), list.end(), [&](auto const& item) {
                return name != nullptr && item.name == name;
            });
        if (found == list.end())
            std::abort();
        return *found;
    }();
    chosen.read({reinterpret_cast<char const*>(data), size}); // NOLINT
    return 0;
}
