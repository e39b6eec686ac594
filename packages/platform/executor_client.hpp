#pragma once

#include "core/clock.hpp"
#include "core/result.hpp"

#include <string>
#include <string_view>

namespace sequoiaroute::platform {

/// One attempt to execute an urgent request.
struct execution_request
{
    std::string attempt_id; ///< unique for each attempt of a request
    std::string request_id;
    std::string customer;
    std::string_view body;       ///< must stay valid during the call
    core::duration time_limit{}; ///< for the whole call
};

/// Client of the executor beside an agent. Each call occupies one slot of the
/// executor until it returns.
class executor_client
{
public:
    virtual ~executor_client() = default;

    /// Executes a request and waits for the whole answer.
    /// @param request the request
    /// @return the body of the answer; refused_not_run if the executor
    ///         certainly did not run the request; execution_failed if it ran
    ///         and failed; answer_incomplete if the answer was truncated;
    ///         outcome_unknown if the request was sent, but there was no
    ///         response, or one with an unexpected status
    virtual core::result<std::string>
    execute(execution_request const& request) = 0;
};

} // namespace sequoiaroute::platform
