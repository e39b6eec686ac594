#pragma once

#include "core/clock.hpp"
#include "core/result.hpp"

#include <string>
#include <string_view>

namespace sequoiaroute::platform {

/// A request on its way to an executor.
struct execution_request
{
    std::string attempt_id;
    std::string request_id;
    std::string customer;
    std::string_view body;
    core::duration time_limit{};
};

/// The executor beside an agent. One call occupies one slot.
class executor_client
{
public:
    virtual ~executor_client() = default;

    /// Executes a request and waits for the whole answer.
    /// @param request the request
    /// @return the answer's body; refused_not_run if the executor certainly
    ///         did not run it; execution_failed if it ran and failed;
    ///         answer_incomplete for a truncated answer; outcome_unknown if
    ///         the connection broke after the request was sent
    virtual core::result<std::string>
    execute(execution_request const& request) = 0;
};

} // namespace sequoiaroute::platform
