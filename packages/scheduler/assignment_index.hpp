#pragma once

#include "scheduler/open_job.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sequoiaroute::scheduler {

/// Finds the runs that were ordered from an agent, so that a report costs as
/// much as its worker has runs, and not as the fleet has.
class assignment_index
{
public:
    void add(std::string const& agent, jobs::task_id const& task)
    {
        tasks_[agent].insert(task);
    }

    void remove(std::string const& agent, jobs::task_id const& task)
    {
        auto const found = tasks_.find(agent);
        if (found == tasks_.end())
            return;
        found->second.erase(task);
        if (found->second.empty())
            tasks_.erase(found);
    }

    /// @return the tasks with a run at an agent
    std::vector<jobs::task_id> tasks_of(std::string const& agent) const
    {
        auto const found = tasks_.find(agent);
        if (found == tasks_.end())
            return {};
        return {found->second.begin(), found->second.end()};
    }

private:
    std::map<std::string, std::set<jobs::task_id>> tasks_;
};

} // namespace sequoiaroute::scheduler
