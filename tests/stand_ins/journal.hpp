#pragma once

#include "core/clock.hpp"
#include "core/codec.hpp"

#include <mutex>
#include <string_view>
#include <vector>

namespace sequoiaroute::stand_ins {

/// The events in a stand-in, in order, for the checks of scenarios. Can be used
/// by several threads at once.
class journal
{
public:
    /// Appends an entry. Its fields sequence (from 1), ms (the monotonic time)
    /// and kind are added to the given ones.
    /// @param kind the kind of event, such as "task_started"
    /// @param fields an object with the further fields
    void record(std::string_view kind, core::json fields);

    /// @return an array of all entries, the oldest first
    core::json entries() const;

private:
    core::system_clock clock_;
    mutable std::mutex mutex_;
    std::vector<core::json> entries_;
};

} // namespace sequoiaroute::stand_ins
