#pragma once

#include "core/clock.hpp"

#include <map>
#include <optional>

namespace sequoiaroute::rows {

/// Determines from the outcomes of calls whether the store is reachable from
/// this process.
///
/// The store may stop responding, or refuse this machine, while customers
/// submit jobs. A write that was sent and not answered may still take effect,
/// so the customer can get neither a success nor a definite failure. A write
/// that was never sent can be refused at once. A lost response does not count
/// as an outage as long as other calls are answered.
class store_reachability
{
public:
    using call_id = std::size_t;

    /// Records that a call was sent.
    /// @param expects_prompt_response false for a long poll, whose response the
    ///                                store may delay
    /// @return the id of the call
    call_id record_sent(bool expects_prompt_response, core::time_point now);

    /// Records that the store answered a call without refusing it.
    void record_success(call_id call, core::time_point now);

    /// Records that the store refused a call, or that the call timed out.
    void record_failure(call_id call, core::time_point now);

    /// @return whether a call that is sent now can be expected to be answered
    bool is_reachable(core::time_point now) const;

private:
    struct pending_call
    {
        core::time_point sent_at;
        bool expects_prompt_response = false;
    };

    std::map<call_id, pending_call> pending_calls_;
    call_id last_id_ = 0;
    std::optional<core::time_point> last_success_at_;
    /// Set while the last outcome that counts is a failure.
    std::optional<core::time_point> failed_at_;
};

} // namespace sequoiaroute::rows
