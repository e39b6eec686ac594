#include "targets/dispatch_history.hpp"

#include "targets/unknown_outcome.hpp"

#include <algorithm>

namespace sequoiaroute::targets {

using core::result_code;

void dispatch_history::record_outcome(std::string const& target_id,
                                      attempt_outcome const& outcome)
{
    if (!may_have_run(outcome.kind)) {
        refused_targets.push_back(target_id);
        last_refusal_ = outcome.error;
        return;
    }
    attempted_targets_.push_back(target_id);
    if (outcome.kind == outcome_kind::unresolved) {
        has_unresolved_ = true;
        return;
    }
    has_failure_ = true;
    last_failure_ = outcome.error;
}

bool dispatch_history::may_have_run(outcome_kind kind)
{
    return kind != outcome_kind::refused && kind != outcome_kind::fenced &&
           kind != outcome_kind::not_sent;
}

bool dispatch_history::may_retry(urgent_request const& request,
                                 outcome_kind kind) const
{
    if (!request.is_unrepeatable)
        return true;
    // An unresolved attempt may be followed by another, because the authorizer
    // allows that only if the unresolved one can no longer start. A failed or
    // incomplete attempt has run.
    return kind != outcome_kind::failed && kind != outcome_kind::incomplete;
}

bool dispatch_history::may_have_run_at(std::string_view target_id) const
{
    return std::ranges::find(attempted_targets_, target_id) !=
           attempted_targets_.end();
}

std::vector<std::string> dispatch_history::excluded_targets() const
{
    auto excluded = attempted_targets_;
    excluded.insert(excluded.end(), refused_targets.begin(),
                    refused_targets.end());
    return excluded;
}

core::error dispatch_history::final_error(urgent_request const& request) const
{
    if (has_failure_ && request.is_unrepeatable &&
        last_failure_.code == result_code::outcome_unknown)
        return unrepeatable_outcome_unknown();
    if (has_failure_ && (request.is_unrepeatable || !has_unresolved_))
        return last_failure_;
    if (has_unresolved_)
        return unresolved_error(request);
    return not_run_error();
}

core::error
dispatch_history::unresolved_error(urgent_request const& request) const
{
    if (request.is_unrepeatable)
        return unrepeatable_outcome_unknown();
    if (end == dispatch_stop_reason::deadline) {
        return {result_code::deadline_exceeded,
                "the request may have run, but no answer arrived before its "
                "deadline"};
    }
    return {result_code::outcome_unknown,
            "the request may have run; it is repeatable and may be sent again"};
}

core::error dispatch_history::not_run_error() const
{
    switch (end) {
    case dispatch_stop_reason::store_unavailable:
        return {result_code::not_run_store_unavailable,
                "the table is unavailable, so this submission was not run"};
    case dispatch_stop_reason::no_target:
        if (core::is_not_run(last_refusal_.code))
            return last_refusal_;
        return {result_code::no_target_not_run,
                "no executor of the service accepts work"};
    case dispatch_stop_reason::deadline:
        return {result_code::deadline_not_run,
                "no executor accepted the request before its deadline"};
    case dispatch_stop_reason::last_outcome:
        break;
    }
    return core::is_not_run(last_refusal_.code)
               ? last_refusal_
               : core::error{result_code::refused_not_run,
                             "every target refused the request"};
}

} // namespace sequoiaroute::targets
