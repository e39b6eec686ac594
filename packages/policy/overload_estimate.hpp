#pragma once

#include "core/clock.hpp"
#include "policy/admission.hpp"
#include "policy/target_selection.hpp"

#include <optional>
#include <span>
#include <string_view>

namespace sequoiaroute::policy {

/// Estimates how many more requests of a service an entry can accept, and
/// refuses the others.
class overload_estimate
{
public:
    /// Requests queued per executor beyond its slots. In a longer queue,
    /// requests would only wait until their deadline.
    static constexpr int queue_per_executor = 8;

    /// @param executors all known executors
    /// @param service the service of the request
    /// @param waiting_requests requests of the service that this entry already
    ///        holds without a slot
    /// @return how many more requests can be accepted, at least 0
    static int remaining_capacity(std::span<executor_view const> executors,
                                  std::string_view service,
                                  int waiting_requests);

    /// Refuses a request if no executor accepts the service or if it would wait
    /// too long. The parameters are those of remaining_capacity().
    /// @return the refusal, or nothing if the request can be accepted
    static std::optional<admission_refusal>
    refusal(std::span<executor_view const> executors, std::string_view service,
            int waiting_requests);
};

} // namespace sequoiaroute::policy
