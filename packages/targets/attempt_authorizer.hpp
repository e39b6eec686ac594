#pragma once

#include "core/result.hpp"

#include <cstdint>
#include <string_view>

namespace sequoiaroute::targets {

/// Authorizes the attempts of one unrepeatable request, so that at most one of
/// them starts. Each attempt needs an authorization before it is dispatched.
class attempt_authorizer
{
public:
    virtual ~attempt_authorizer() = default;

    /// Authorizes one attempt and fences every earlier one.
    /// @param attempt_id the attempt to dispatch
    /// @param target_id the target that will receive it
    /// @return the attempt number, which fences those with a lower one; or an
    ///         error, on which the attempt must not be dispatched:
    ///         store_unavailable, timed_out or write_unknown if the table does
    ///         not answer, any other error ends the request and is returned to
    ///         the caller
    virtual core::result<std::uint64_t>
    authorize(std::string_view attempt_id, std::string_view target_id) = 0;
};

} // namespace sequoiaroute::targets
