#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace sequoiaroute::core {

/// Named counters of one process, included in dumps and served at
/// /v1/counters. May be used by several threads.
class counters
{
public:
    /// Returns a counter, which starts at 0 when its name is first used.
    /// @param name a name such as "requests.accepted"
    /// @return a reference that is valid for the lifetime of this object
    std::atomic<std::int64_t>& counter(std::string_view name);

    /// @return the current values by name
    std::map<std::string, std::int64_t> values() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::atomic<std::int64_t>, std::less<>> counters_;
};

} // namespace sequoiaroute::core
