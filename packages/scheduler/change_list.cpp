#include "scheduler/change_list.hpp"

#include <utility>

namespace sequoiaroute::scheduler {

job_change& change_list::find_or_add(open_job const& job)
{
    auto const& id = job.submission.job_id;
    auto const [position, is_new] = positions_.emplace(id, changes_.size());
    if (is_new) {
        job_change change;
        change.job_id = id;
        change.is_urgent = job.submission.parameters.is_urgent();
        changes_.push_back(std::move(change));
    }
    return changes_[position->second];
}

void change_list::add_order(open_job const& job,
                            order_change::action_type action,
                            jobs::run_order order, std::string_view reason)
{
    find_or_add(job).orders.push_back(
        {action, std::move(order), std::string(reason)});
}

std::vector<job_change> change_list::take_changes()
{
    positions_.clear();
    return std::exchange(changes_, {});
}

} // namespace sequoiaroute::scheduler
