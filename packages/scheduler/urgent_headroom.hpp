#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace sequoiaroute::scheduler {

/// Computes how many accelerators non-urgent work should leave free for urgent
/// work.
///
/// Urgent gangs arrive every second. If non-urgent work has just filled the
/// workers, each of them waits for runs to be stopped, whose work is lost.
/// Non-urgent jobs have time to spare, so they leave free what urgent work has
/// used at its recent peak beyond its present use.
class urgent_headroom
{
public:
    /// Records the present demand of urgent work.
    /// @param service the service whose workers are meant
    /// @param accelerators the sum over urgent runs and waiting urgent tasks
    /// @param now the current time
    void observe(std::string const& service, std::int64_t accelerators,
                 core::time_point now);

    /// @param service the service
    /// @param capacity the accelerators of all its workers
    /// @return the accelerators that non-urgent work should leave free
    std::int64_t accelerators_to_keep_free(std::string const& service,
                                           std::int64_t capacity) const;

private:
    struct sample
    {
        core::time_point observed_at;
        std::int64_t accelerators = 0;
    };

    std::map<std::string, std::deque<sample>> samples_;
};

} // namespace sequoiaroute::scheduler
