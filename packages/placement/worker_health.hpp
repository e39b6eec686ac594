#pragma once

#include "core/clock.hpp"

#include <deque>
#include <map>
#include <string>

namespace sequoiaroute::placement {

/// Judges workers by how the runs on them go.
///
/// The load that it answers: a worker answers its heartbeats and starts what
/// it is told, and fails all of it, or lets it stand still. A single failed
/// run says little, since jobs fail by their own fault too; runs of several
/// jobs that fail in a row say that the worker is at fault.
class worker_health
{
public:
    void record_failure(std::string const& agent, std::string const& job,
                        core::time_point now);
    void record_success(std::string const& agent);

    /// The executor did not start a run that it was told to start.
    void record_refusal(std::string const& agent, core::time_point now);

    /// @return whether new runs should go elsewhere
    bool is_avoided(std::string const& agent, core::time_point now) const;

    /// @return how much rather other workers are used, 0 for not at all
    double penalty(std::string const& agent, core::time_point now) const;

    /// Forgets a worker whose executor started anew.
    void forget(std::string const& agent);

private:
    struct failure
    {
        std::string job;
        core::time_point at;
    };
    struct record
    {
        std::deque<failure> failures; ///< since the last success
        core::time_point refused_at{};
    };

    std::map<std::string, record> records_;
};

} // namespace sequoiaroute::placement
