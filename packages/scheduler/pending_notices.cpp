#include "scheduler/pending_notices.hpp"

#include "rows/row_layout.hpp"

namespace sequoiaroute::scheduler {

void pending_notices::add(std::span<job_change const> changes)
{
    for (auto const& change : changes) {
        for (auto const& order : change.orders) {
            bool const is_start =
                order.action == order_change::action_type::start &&
                change.is_urgent;
            if (!is_start && order.action != order_change::action_type::stop)
                continue;
            auto const key = rows::layout::order_row(order.order.agent,
                                                     to_text(order.order.run));
            recipients_[key] = order.order.agent;
        }
        if (change.has_just_finished && change.is_urgent)
            recipients_[rows::layout::progress_row(change.job_id)] = {};
    }
}

std::map<std::string, notices::row_notice> pending_notices::take_notices(
    std::span<rows::row_write const> written, rows::row_version version,
    std::string const& decider, std::span<std::string const> entries)
{
    std::map<std::string, notices::row_notice> notices;
    auto const port = decider.substr(decider.rfind(':'));
    for (auto const& write : written) {
        auto const found = recipients_.find(write.key);
        if (found == recipients_.end())
            continue;
        rows::row const row{write.key, write.value, version, false};
        if (!found->second.empty()) {
            notices[found->second + port].rows.push_back(row);
        } else {
            for (auto const& entry : entries)
                notices[entry].rows.push_back(row);
        }
        recipients_.erase(found);
    }
    for (auto& [address, notice] : notices)
        notice.decider_address = decider;
    return notices;
}

} // namespace sequoiaroute::scheduler
