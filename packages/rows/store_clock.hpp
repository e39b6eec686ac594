#pragma once

#include "core/clock.hpp"

#include <optional>

namespace sequoiaroute::rows {

/// Estimates the current time of the store's steady clock from its answers. An
/// answer may arrive long after the store has read its clock, so it only bounds
/// that time: the clock was read after the call was sent and before the answer
/// arrived. The estimate is on the same side of the true time throughout.
class store_clock
{
public:
    enum class side
    {
        early, ///< never later than the true time
        late,  ///< never earlier
    };

    explicit store_clock(side estimate) : side_(estimate) {}

    /// Adds an answer of the store. The estimate changes only as far as the
    /// answer contradicts it.
    /// @param store_time the time in the answer; zero if it has none, which
    ///        changes nothing
    /// @param sent_at when the call was sent
    /// @param received_at when the answer arrived
    void record(core::duration store_time, core::time_point sent_at,
                core::time_point received_at);

    /// @return the estimated time of the store's clock; zero if it is not known
    core::duration time(core::time_point now) const;

private:
    side side_;
    /// The store's time minus the time of this process since its epoch.
    std::optional<core::duration> offset_;
};

} // namespace sequoiaroute::rows
