#pragma once

#include "core/clock.hpp"

#include <map>
#include <optional>

namespace sequoiaroute::rows {

/// Judges from the outcomes of calls whether the store answers this process.
///
/// The load that it answers: the store goes silent, or refuses this machine,
/// while customers hand in jobs. A write that was sent and not answered may
/// still take effect, so its customer can neither be served nor be told that
/// nothing happened; one that was never sent can be refused at once. Single
/// answers may be lost while others arrive; that is no outage.
class store_reachability
{
public:
    using call_id = std::size_t;

    /// @param is_prompt whether an answer is expected at once
    /// @return the id of the call
    call_id record_sent(bool is_prompt, core::time_point now);

    /// The store answered, and did not refuse.
    void record_answer(call_id call, core::time_point now);

    /// The store refused, or gave no answer in time.
    void record_failure(call_id call, core::time_point now);

    /// @return whether a call sent now is expected to be answered
    bool is_reachable(core::time_point now) const;

private:
    struct open_call
    {
        core::time_point sent_at;
        bool is_prompt = false;
    };

    std::map<call_id, open_call> open_;
    call_id last_id_ = 0;
    std::optional<core::time_point> answered_at_;
    std::optional<core::time_point> failed_at_;
};

} // namespace sequoiaroute::rows
