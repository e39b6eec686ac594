#pragma once

#include <string>
#include <string_view>

namespace sequoiaroute::decider {

/// The way from the job service of an entry to the decider, which may be the
/// same process. Both calls are best effort: the decider also reads all rows
/// from time to time.
class decider_client
{
public:
    virtual ~decider_client() = default;

    /// Tells that a row was written.
    /// @param job_id the job; empty if many have changed
    virtual void notify_change(std::string_view job_id) = 0;

    /// @return what a job waits for, empty if unknown
    virtual std::string waiting_note(std::string_view job_id) = 0;
};

} // namespace sequoiaroute::decider
