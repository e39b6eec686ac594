#pragma once

#include "scheduler/open_job.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::scheduler {

/// Collects the changes that one scheduling round makes, by job.
class change_list
{
public:
    /// Marks a job as changed, if it is not yet, so that its progress is
    /// stored.
    /// @return the job's change; valid until the next job is added
    job_change& find_or_add(open_job const& job);

    /// Adds a new, changed or removed order of a job.
    /// @param reason for a stop, why; for a removal, how the run ended
    void add_order(open_job const& job, order_change::action_type action,
                   jobs::run_order order, std::string_view reason);

    /// Empties the list.
    /// @return the changes, in the order in which the jobs were first changed
    std::vector<job_change> take_changes();

private:
    std::vector<job_change> changes_;
    std::map<std::string, std::size_t> positions_;
};

} // namespace sequoiaroute::scheduler
