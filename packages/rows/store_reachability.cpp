#include "rows/store_reachability.hpp"

#include <algorithm>

namespace sequoiaroute::rows {

namespace {

/// A call that waits longer than this, with no answer to any call since it was
/// sent, is a sign that the store has gone silent. A slow store takes up to
/// half of it.
constexpr core::duration silence{500};

} // namespace

store_reachability::call_id
store_reachability::record_sent(bool is_prompt, core::time_point now)
{
    open_.emplace(++last_id_, open_call{now, is_prompt});
    return last_id_;
}

void store_reachability::record_answer(call_id call, core::time_point now)
{
    open_.erase(call);
    answered_at_ = now;
    failed_at_.reset();
}

void store_reachability::record_failure(call_id call, core::time_point now)
{
    auto const found = open_.find(call);
    if (found == open_.end())
        return;
    // An answer since then shows that only this one was lost.
    bool const is_outdated =
        answered_at_ && *answered_at_ >= found->second.sent_at;
    open_.erase(found);
    if (!is_outdated)
        failed_at_ = now;
}

bool store_reachability::is_reachable(core::time_point now) const
{
    if (failed_at_)
        return false;
    return std::none_of(open_.begin(), open_.end(), [&](auto const& item) {
        auto const& call = item.second;
        bool const is_unanswered =
            !answered_at_ || *answered_at_ < call.sent_at;
        return call.is_prompt && is_unanswered && now - call.sent_at > silence;
    });
}

} // namespace sequoiaroute::rows
