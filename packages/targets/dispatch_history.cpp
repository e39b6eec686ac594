#include "targets/dispatch_history.hpp"

#include "targets/unknown_outcome.hpp"

#include <algorithm>

namespace sequoiaroute::targets {

using core::result_code;

void dispatch_history::note(std::string const& target_id,
                            attempt_outcome const& outcome)
{
    if (!may_have_run(outcome.fate)) {
        refused_targets.push_back(target_id);
        last_refusal_ = outcome.error;
        return;
    }
    used_targets_.push_back(target_id);
    if (outcome.fate == attempt_fate::unresolved) {
        has_unresolved_ = true;
        return;
    }
    has_ended_badly_ = true;
    last_bad_end_ = outcome.error;
}

bool dispatch_history::may_have_run(attempt_fate fate)
{
    return fate != attempt_fate::refused && fate != attempt_fate::fenced &&
           fate != attempt_fate::not_sent;
}

bool dispatch_history::may_run_again(urgent_request const& request,
                                     attempt_fate fate) const
{
    if (!request.is_unrepeatable)
        return true;
    // The authorizer lets an unresolved attempt be replaced only if it can no
    // longer start. One that failed or finished has run.
    return fate != attempt_fate::failed && fate != attempt_fate::incomplete;
}

bool dispatch_history::has_run_at(std::string_view target_id) const
{
    return std::ranges::find(used_targets_, target_id) != used_targets_.end();
}

std::vector<std::string> dispatch_history::excluded_targets() const
{
    auto excluded = used_targets_;
    excluded.insert(excluded.end(), refused_targets.begin(),
                    refused_targets.end());
    return excluded;
}

core::error dispatch_history::final_error(urgent_request const& request) const
{
    if (has_ended_badly_ && request.is_unrepeatable &&
        last_bad_end_.code == result_code::outcome_unknown)
        return unrepeatable_outcome_unknown();
    if (has_ended_badly_ && (request.is_unrepeatable || !has_unresolved_))
        return last_bad_end_;
    if (has_unresolved_)
        return unresolved_error(request);
    return not_run_error();
}

core::error
dispatch_history::unresolved_error(urgent_request const& request) const
{
    if (request.is_unrepeatable)
        return unrepeatable_outcome_unknown();
    if (end == dispatch_end::deadline) {
        return {result_code::deadline_exceeded,
                "the request may have run, but no answer arrived in time"};
    }
    return {result_code::outcome_unknown,
            "the request may have run; it is repeatable and may be sent again"};
}

core::error dispatch_history::not_run_error() const
{
    switch (end) {
    case dispatch_end::store_unavailable:
        return {result_code::not_run_store_unavailable,
                "the table is unavailable, so this submission was not run"};
    case dispatch_end::no_target:
        if (core::is_not_run(last_refusal_.code))
            return last_refusal_;
        return {result_code::no_target_not_run,
                "no executor of the service accepts work"};
    case dispatch_end::deadline:
        return {result_code::deadline_not_run,
                "no executor took the request before its deadline"};
    case dispatch_end::last_outcome:
        break;
    }
    return core::is_not_run(last_refusal_.code)
               ? last_refusal_
               : core::error{result_code::refused_not_run,
                             "every target refused the request"};
}

} // namespace sequoiaroute::targets
