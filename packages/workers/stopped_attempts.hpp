#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace sequoiaroute::workers {

/// The attempts whose members must no longer be reserved or started. Not
/// thread-safe.
class stopped_attempts
{
public:
    /// @param retention how long an attempt is kept; must be longer than any
    ///        command can be delayed
    explicit stopped_attempts(core::duration retention) : retention_(retention)
    {
    }

    /// Adds an attempt, or restarts its retention time.
    void add(std::string const& job_id, std::uint64_t attempt,
             core::time_point now)
    {
        stopped_at_[{job_id, attempt}] = now;
    }

    bool contains(std::string const& job_id, std::uint64_t attempt) const
    {
        return stopped_at_.contains({job_id, attempt});
    }

    /// Removes the attempts whose retention time is over.
    void expire(core::time_point now)
    {
        std::erase_if(stopped_at_, [&](auto const& item) {
            return now - item.second >= retention_;
        });
    }

private:
    core::duration retention_;
    std::map<std::pair<std::string, std::uint64_t>, core::time_point>
        stopped_at_;
};

} // namespace sequoiaroute::workers
