#pragma once

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace sequoiaroute::scheduler {

/// Issues the tickets that executors require before they start tasks of some
/// queues (see queue_parameters::needs_tickets()).
class advice_service
{
public:
    /// Tickets by executor id. An executor without one may not run the step.
    using tickets = std::map<std::string, std::string>;

    virtual ~advice_service() = default;

    /// Requests tickets for the tasks of a step. The service handles the calls
    /// of one process one after another.
    /// @param step the step, as JOB.OCCURRENCE.STEP
    /// @param executors ids of the candidate executors, at most 100
    /// @param done receives the tickets, or nullopt if the call failed
    virtual void
    request_tickets(std::string const& step,
                    std::span<std::string const> executors,
                    std::function<void(std::optional<tickets>)> done) = 0;
};

} // namespace sequoiaroute::scheduler
