#pragma once

#include <string>
#include <string_view>

namespace sequoiaroute::decider {

/// Sends the calls of an entry's job service to the decider, which may run in
/// the same process. Both calls are best effort: the decider also scans all job
/// rows periodically.
class decider_client
{
public:
    virtual ~decider_client() = default;

    /// Notifies the decider that a job's row was written.
    /// @param job_id the job; empty if several jobs have changed
    virtual void notify_change(std::string_view job_id) = 0;

    /// @return what a queued job waits for, as status text; empty if unknown
    virtual std::string query_waiting_note(std::string_view job_id) = 0;
};

} // namespace sequoiaroute::decider
