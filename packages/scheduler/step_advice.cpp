#include "scheduler/step_advice.hpp"

namespace sequoiaroute::scheduler {

void step_advice::record(std::span<std::string const> asked,
                         std::map<std::string, std::string> const& tickets,
                         core::time_point now)
{
    asked_.insert(asked.begin(), asked.end());
    for (auto const& [executor, ticket] : tickets)
        permissions_[executor] = {ticket, now};
}

std::set<std::string> step_advice::allowed() const
{
    std::set<std::string> executors;
    for (auto const& [executor, permission] : permissions_)
        executors.insert(executor);
    return executors;
}

std::optional<std::string>
step_advice::ticket(std::string const& executor,
                    core::time_point not_before) const
{
    auto const found = permissions_.find(executor);
    if (found == permissions_.end() || found->second.given_at < not_before)
        return std::nullopt;
    return found->second.ticket;
}

} // namespace sequoiaroute::scheduler
