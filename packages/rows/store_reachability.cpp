#include "rows/store_reachability.hpp"

#include <algorithm>

namespace sequoiaroute::rows {

namespace {

/// The store counts as unreachable if a call has been pending for longer than
/// this and no call has succeeded since it was sent. This is twice the longest
/// response time of a slow store.
constexpr core::duration unresponsive_after{500};

} // namespace

store_reachability::call_id
store_reachability::record_sent(bool expects_prompt_response,
                                core::time_point now)
{
    pending_calls_.emplace(++last_id_,
                           pending_call{now, expects_prompt_response});
    return last_id_;
}

void store_reachability::record_success(call_id call, core::time_point now)
{
    pending_calls_.erase(call);
    last_success_at_ = now;
    failed_at_.reset();
}

void store_reachability::record_failure(call_id call, core::time_point now)
{
    auto const found = pending_calls_.find(call);
    if (found == pending_calls_.end())
        return;
    // If another call has succeeded since, only this one was lost.
    bool const is_outdated =
        last_success_at_ && *last_success_at_ >= found->second.sent_at;
    pending_calls_.erase(found);
    if (!is_outdated)
        failed_at_ = now;
}

bool store_reachability::is_reachable(core::time_point now) const
{
    if (failed_at_)
        return false;
    return std::none_of(
        pending_calls_.begin(), pending_calls_.end(), [&](auto const& item) {
            auto const& call = item.second;
            bool const has_no_later_success =
                !last_success_at_ || *last_success_at_ < call.sent_at;
            return call.expects_prompt_response && has_no_later_success &&
                   now - call.sent_at > unresponsive_after;
        });
}

} // namespace sequoiaroute::rows
