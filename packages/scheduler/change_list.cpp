#include "scheduler/change_list.hpp"

#include <utility>

namespace sequoiaroute::scheduler {

job_change& change_list::of(open_job const& job)
{
    auto const& id = job.submission.job_id;
    auto const [position, is_new] = positions_.emplace(id, changes_.size());
    if (is_new) {
        job_change added;
        added.job_id = id;
        added.is_urgent = job.submission.parameters.is_urgent();
        changes_.push_back(std::move(added));
    }
    return changes_[position->second];
}

void change_list::add_order(open_job const& job, order_change::kind what,
                            jobs::run_order order, std::string_view reason)
{
    of(job).orders.push_back({what, std::move(order), std::string(reason)});
}

std::vector<job_change> change_list::take()
{
    positions_.clear();
    return std::exchange(changes_, {});
}

} // namespace sequoiaroute::scheduler
