#pragma once

#include "jobs/worker_report.hpp"

#include <algorithm>
#include <cstdint>

namespace sequoiaroute::agents {

/// The position of an end in the list that one incarnation of an executor
/// keeps. Each incarnation numbers its ends anew.
struct end_position
{
    jobs::incarnation executor;
    std::int64_t number = 0;
};

/// Tracks which ends the current incarnation of an executor has listed, and
/// which of them a stored report contains and may therefore be acknowledged.
class end_acknowledgement
{
public:
    /// Starts anew for another incarnation.
    void set_executor(jobs::incarnation const& executor)
    {
        listed_ = {executor, 0};
        acknowledged_number_ = 0;
    }

    /// Records an end that the current incarnation lists.
    /// @return whether it was listed for the first time
    bool record_listed(std::int64_t number)
    {
        if (number <= listed_.number)
            return false;
        listed_.number = number;
        return true;
    }

    /// @return the last end that has been listed
    end_position const& last_listed() const { return listed_; }

    /// Acknowledges the ends up to a position that last_listed() returned when
    /// the stored report was made. Has no effect if the executor has been
    /// replaced since.
    void acknowledge(end_position const& reported)
    {
        if (reported.executor == listed_.executor)
            acknowledged_number_ =
                std::max(acknowledged_number_, reported.number);
    }

    /// @return the number up to which the executor may drop its ends
    std::int64_t acknowledged_number() const { return acknowledged_number_; }

    /// @return whether an end has been listed but not acknowledged
    bool has_unacknowledged() const
    {
        return listed_.number > acknowledged_number_;
    }

private:
    end_position listed_;
    std::int64_t acknowledged_number_ = 0;
};

} // namespace sequoiaroute::agents
