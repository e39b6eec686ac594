#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <random>

namespace sequoiaroute::soak {

/// Numbers that depend on the seed only.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /// @return from 0 to one less than the bound
    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          bound - 1)(engine_);
    }

    bool happens(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(engine_) < share;
    }

    core::duration between(core::duration least, core::duration most)
    {
        return core::duration(std::uniform_int_distribution<std::int64_t>(
            least.count(), most.count())(engine_));
    }

private:
    std::mt19937_64 engine_;
};

} // namespace sequoiaroute::soak
