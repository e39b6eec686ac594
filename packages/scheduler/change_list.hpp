#pragma once

#include "scheduler/open_job.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::scheduler {

/// Collects what one round changes, by job.
class change_list
{
public:
    /// @return the changes of a job
    job_change& of(open_job const& job);

    /// Adds a changed order of a job.
    void add_order(open_job const& job, order_change::kind what,
                   jobs::run_order order, std::string_view reason);

    /// @return the changes in the order in which their jobs were first changed
    std::vector<job_change> take();

private:
    std::vector<job_change> changes_;
    std::map<std::string, std::size_t> positions_;
};

} // namespace sequoiaroute::scheduler
