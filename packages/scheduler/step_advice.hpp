#pragma once

#include "core/clock.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace sequoiaroute::scheduler {

/// What the advice service has said of one step. Which executors may run the
/// step does not change; a ticket holds only for some seconds.
class step_advice
{
public:
    /// Takes note of an answer.
    /// @param asked the executors that the service was asked about
    /// @param tickets its tickets by executor
    /// @param now the current time
    void record(std::span<std::string const> asked,
                std::map<std::string, std::string> const& tickets,
                core::time_point now);

    /// @return whether the service has been asked about an executor
    bool knows(std::string const& executor) const
    {
        return asked_.contains(executor);
    }

    /// @return the executors that may run the step
    std::set<std::string> allowed() const;

    /// @param executor the executor
    /// @param not_before when the ticket has to have been given
    /// @return a ticket; nothing if there is none that is so new
    std::optional<std::string> ticket(std::string const& executor,
                                      core::time_point not_before) const;

private:
    struct permission
    {
        std::string ticket;
        core::time_point given_at{};
    };

    std::set<std::string> asked_;
    std::map<std::string, permission> permissions_;
};

} // namespace sequoiaroute::scheduler
