#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <random>

namespace sequoiaroute::soak {

/// Pseudo-random values; the sequence depends only on the seed.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /// @param bound exclusive; must not be 0
    /// @return a uniformly distributed number from 0 to bound - 1
    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          bound - 1)(engine_);
    }

    /// @param probability from 0 to 1
    /// @return true with the given probability
    bool happens(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(engine_) <
               probability;
    }

    /// @return a uniformly distributed duration, bounds included
    core::duration between(core::duration minimum, core::duration maximum)
    {
        return core::duration(std::uniform_int_distribution<std::int64_t>(
            minimum.count(), maximum.count())(engine_));
    }

private:
    std::mt19937_64 engine_;
};

} // namespace sequoiaroute::soak
