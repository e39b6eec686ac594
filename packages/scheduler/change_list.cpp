#include "scheduler/change_list.hpp"

#include "jobs/row_codec.hpp"

#include <utility>

namespace sequoiaroute::scheduler {

job_change& change_list::find_or_add(open_job const& job)
{
    auto const& id = job.submission.job_id;
    auto const [found, is_new] =
        open_changes_.try_emplace(id, open_change{changes_.size()});
    if (is_new) {
        job_change change;
        change.job_id = id;
        change.is_urgent = job.submission.parameters.is_urgent();
        changes_.push_back(std::move(change));
    }
    return changes_[found->second.position];
}

void change_list::add_order(open_job const& job,
                            order_change::action_type action,
                            jobs::run_order order, std::string_view reason)
{
    auto value = action == order_change::action_type::remove
                     ? std::string()
                     : jobs::encode(order);
    auto const found = open_changes_.find(job.submission.job_id);
    if (found != open_changes_.end() &&
        found->second.order_bytes + value.size() > max_order_bytes_per_change)
        close_change(job);
    keep_together(job, 1);
    auto& change = find_or_add(job);
    open_changes_.at(change.job_id).order_bytes += value.size();
    change.orders.push_back(
        {action, std::move(order), std::string(reason), std::move(value)});
}

void change_list::keep_together(open_job const& job, std::size_t count)
{
    auto const found = open_changes_.find(job.submission.job_id);
    if (found == open_changes_.end())
        return;
    auto const& orders = changes_[found->second.position].orders;
    if (!orders.empty() && orders.size() + count > max_orders_per_change)
        close_change(job);
}

void change_list::close_change(open_job const& job)
{
    auto const found = open_changes_.find(job.submission.job_id);
    changes_[found->second.position].progress = job.progress;
    open_changes_.erase(found);
}

std::vector<job_change> change_list::take_changes(job_map const& jobs)
{
    for (auto const& [id, open] : std::exchange(open_changes_, {})) {
        auto& change = changes_[open.position];
        if (!change.is_retired)
            change.progress = jobs.at(id).progress;
    }
    return std::exchange(changes_, {});
}

} // namespace sequoiaroute::scheduler
