#pragma once

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace sequoiaroute::scheduler {

/// Says which executors may run a step of a queue that asks for permission.
class advice_service
{
public:
    /// Tickets by executor id; executors that are missing may not run the step.
    using tickets = std::map<std::string, std::string>;

    virtual ~advice_service() = default;

    /// Asks about executors. Calls of one process are answered in turn.
    /// @param step the step, as JOB.OCCURRENCE.STEP
    /// @param executors their ids, at most 100
    /// @param done receives the tickets; nothing without an answer
    virtual void
    request_tickets(std::string const& step,
                    std::span<std::string const> executors,
                    std::function<void(std::optional<tickets>)> done) = 0;
};

} // namespace sequoiaroute::scheduler
