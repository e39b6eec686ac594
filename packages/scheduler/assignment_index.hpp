#pragma once

#include "scheduler/open_job.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sequoiaroute::scheduler {

/// Index of the tasks with a run on each agent. With it, the cost of processing
/// a report depends on the runs of its worker, not on those of all workers.
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

    /// @return the tasks with a run on this agent, in ascending order
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
