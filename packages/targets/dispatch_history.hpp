#pragma once

#include "core/result.hpp"
#include "targets/attempt_outcome.hpp"
#include "targets/urgent_request.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::targets {

/// Why the dispatcher stopped attempting a request.
enum class dispatch_stop_reason
{
    last_outcome,      ///< the outcome of the last attempt allows no retry
    deadline,          ///< the deadline passed
    no_target,         ///< no usable target is left
    store_unavailable, ///< the next attempt could not be authorized
};

/// The ended attempts of one request, which determine whether it may be
/// retried and which error the caller receives. Not synchronized.
class dispatch_history
{
public:
    /// Records the outcome of an attempt that did not finish.
    void record_outcome(std::string const& target_id,
                        attempt_outcome const& outcome);

    /// @return whether an attempt with this outcome may have run
    static bool may_have_run(outcome_kind kind);

    /// @param kind the outcome of the last attempt
    /// @return whether the request may be attempted again; an unrepeatable one
    ///         may not once an attempt has certainly run
    bool may_retry(urgent_request const& request, outcome_kind kind) const;

    /// @return whether an attempt may have run at this target
    bool may_have_run_at(std::string_view target_id) const;

    /// @return the targets to skip in the next attempt: those where an attempt
    ///         may have run, and refused_targets
    std::vector<std::string> excluded_targets() const;

    /// @return the error for the caller; its code is a "not run" code only if
    ///         every attempt was refused, fenced or not sent
    core::error final_error(urgent_request const& request) const;

    /// Why no further attempt is made; must be set before final_error().
    dispatch_stop_reason end = dispatch_stop_reason::last_outcome;
    /// Targets where an attempt did not run; they may be tried again later.
    std::vector<std::string> refused_targets;

private:
    core::error unresolved_error(urgent_request const& request) const;
    core::error not_run_error() const;

    std::vector<std::string> attempted_targets_; ///< may have run there
    bool has_unresolved_ = false;
    bool has_failure_ = false;
    core::error last_failure_; ///< of a failed or incomplete attempt
    core::error last_refusal_; ///< of an attempt that did not run
};

} // namespace sequoiaroute::targets
