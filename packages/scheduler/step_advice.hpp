#pragma once

#include "core/clock.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace sequoiaroute::scheduler {

/// The answers of the advice service for one step. Whether an executor may run
/// the step does not change, but a ticket expires after some seconds.
class step_advice
{
public:
    /// Adds an answer. A new ticket replaces the earlier one of its executor.
    /// @param queried ids of the executors in the request
    /// @param tickets the tickets received, by executor id
    /// @param now the current time
    void record(std::span<std::string const> queried,
                std::map<std::string, std::string> const& tickets,
                core::time_point now);

    /// @return whether a request with this executor has been answered
    bool has_queried(std::string const& executor) const
    {
        return queried_.contains(executor);
    }

    /// @return ids of the executors that may run the step, including those
    ///         whose ticket has expired
    std::set<std::string> allowed_executors() const;

    /// @param executor id of the executor
    /// @param not_before earliest time at which the ticket was received
    /// @return the ticket; nullopt if there is none or it is older
    std::optional<std::string> ticket(std::string const& executor,
                                      core::time_point not_before) const;

private:
    struct cached_ticket
    {
        std::string ticket;
        core::time_point received_at{};
    };

    std::set<std::string> queried_;
    std::map<std::string, cached_ticket> tickets_;
};

} // namespace sequoiaroute::scheduler
