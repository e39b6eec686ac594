#pragma once

#include "core/result.hpp"
#include "targets/urgent_request.hpp"

namespace sequoiaroute::targets {

/// How an attempt ended, as far as this entry could determine.
enum class outcome_kind
{
    finished,   ///< ran; its complete answer was received
    failed,     ///< ran and failed, as reported by the agent
    incomplete, ///< ran, but the answer does not match its length or digest
    refused,    ///< refused by the agent; it did not run
    fenced,     ///< did not run; the same agent incarnation will refuse it
    not_sent,   ///< the dispatch was not sent; it did not run
    unresolved, ///< unknown; it may have run
};

/// The outcome of one attempt at one target.
struct attempt_outcome
{
    outcome_kind kind = outcome_kind::unresolved;
    request_answer answer; ///< set if the kind is finished
    core::error error;     ///< set for every other kind
};

} // namespace sequoiaroute::targets
