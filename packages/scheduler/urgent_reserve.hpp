#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace sequoiaroute::scheduler {

/// Says how many accelerators patient work should leave free for urgent work.
///
/// The load that it answers: urgent gangs arrive every second on workers that
/// patient work has just filled. Each then waits for runs to be stopped, and
/// what these had done is thrown away. Patient jobs have time to spare, so they
/// leave as much free as urgent work has lately used at its peak.
class urgent_reserve
{
public:
    /// Takes note of what urgent work uses and waits for now.
    /// @param service the service
    /// @param accelerators of urgent runs, and of urgent tasks that wait
    void observe(std::string const& service, std::int64_t accelerators,
                 core::time_point now);

    /// @param capacity the accelerators of all workers of the service
    /// @return the accelerators to leave free
    std::int64_t wanted(std::string const& service,
                        std::int64_t capacity) const;

private:
    struct sample
    {
        core::time_point at;
        std::int64_t accelerators = 0;
    };

    std::map<std::string, std::deque<sample>> samples_;
};

} // namespace sequoiaroute::scheduler
