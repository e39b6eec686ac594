#pragma once

#include "core/result.hpp"

#include <cstdint>
#include <string_view>

namespace sequoiaroute::targets {

/// Must be passed before each dispatch of an unrepeatable request.
class attempt_authorizer
{
public:
    virtual ~attempt_authorizer() = default;

    /// Authorizes one attempt, which forbids every earlier one to start.
    /// @param attempt_id the attempt that is about to be dispatched
    /// @param target_id where it is dispatched
    /// @return the attempt number; store_unavailable, timed_out or
    ///         write_unknown if the table does not answer, in which case the
    ///         attempt must not be dispatched; any other error is the answer
    ///         to the caller
    virtual core::result<std::uint64_t>
    authorize(std::string_view attempt_id, std::string_view target_id) = 0;
};

} // namespace sequoiaroute::targets
