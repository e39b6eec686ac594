#pragma once

#include "core/clock.hpp"
#include "jobs/worker_report.hpp"

#include <cstdint>
#include <optional>

namespace sequoiaroute::agents {

/// Keeps a heartbeat whose executor is not known to run at the agent's machine
/// until the lists of the executor there confirm or refute it. Another program
/// may have sent it, or a predecessor of the current executor. A later one
/// replaces it.
class executor_announcement
{
public:
    struct heartbeat
    {
        jobs::worker_description worker;
        std::int64_t sequence = 0;
    };

    /// Keeps a heartbeat. Repetitions of one that is kept do not delay its
    /// refutation.
    /// @param received_at when it arrived
    void record(heartbeat received, core::time_point received_at);

    /// @return whether a heartbeat is kept
    bool is_pending() const { return heartbeat_.has_value(); }

    /// @param born_ms the start time in the executor's lists
    /// @param requested_at when they were requested
    /// @return whether they show that the announced executor runs now. Lists
    ///         that were requested before the heartbeat arrived may be those of
    ///         a predecessor.
    bool is_confirmed_by(std::int64_t born_ms,
                         core::time_point requested_at) const;

    /// @param requested_at when lists of the current executor were requested
    /// @return whether they show that the announced one did not replace it
    bool is_refuted_by(core::time_point requested_at) const;

    /// Removes the heartbeat.
    /// @return the heartbeat; nullopt if none is kept
    std::optional<heartbeat> take();

    void clear() { heartbeat_.reset(); }

private:
    std::optional<heartbeat> heartbeat_;
    core::time_point received_at_{};
};

} // namespace sequoiaroute::agents
