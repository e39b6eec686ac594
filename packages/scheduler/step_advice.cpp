#include "scheduler/step_advice.hpp"

namespace sequoiaroute::scheduler {

void step_advice::record(std::span<std::string const> queried,
                         std::map<std::string, std::string> const& tickets,
                         core::time_point now)
{
    queried_.insert(queried.begin(), queried.end());
    for (auto const& [executor, ticket] : tickets)
        tickets_[executor] = {ticket, now};
}

std::set<std::string> step_advice::allowed_executors() const
{
    std::set<std::string> executors;
    for (auto const& [executor, cached_ticket] : tickets_)
        executors.insert(executor);
    return executors;
}

std::optional<std::string>
step_advice::ticket(std::string const& executor,
                    core::time_point not_before) const
{
    auto const found = tickets_.find(executor);
    if (found == tickets_.end() || found->second.received_at < not_before)
        return std::nullopt;
    return found->second.ticket;
}

} // namespace sequoiaroute::scheduler
