#pragma once

#include "core/clock.hpp"

#include <optional>
#include <set>
#include <string>

namespace sequoiaroute::scheduler {

/// What is known of the data centres that operators have evacuated.
struct evacuation_state
{
    /// Those in which no task may start.
    std::set<std::string> data_centres;
    /// The time, by the store's clock, up to which all evacuations are known;
    /// nullopt before any were read.
    std::optional<core::duration> confirmed_at;
    core::duration age = core::duration::max(); ///< since that time
};

/// Provides the evacuations that operators have requested.
class evacuation_source
{
public:
    virtual ~evacuation_source() = default;

    virtual evacuation_state evacuations() const = 0;
};

} // namespace sequoiaroute::scheduler
