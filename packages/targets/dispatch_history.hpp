#pragma once

#include "core/result.hpp"
#include "targets/attempt_outcome.hpp"
#include "targets/urgent_request.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::targets {

/// Why a dispatcher stopped trying.
enum class dispatch_end
{
    last_outcome, ///< the last attempt ended it
    deadline,
    no_target,
    store_unavailable,
};

/// What the attempts of one request have shown so far.
class dispatch_history
{
public:
    /// Records the end of an attempt that did not finish.
    void note(std::string const& target_id, attempt_outcome const& outcome);

    /// @return whether an attempt that ended like this may have run
    static bool may_have_run(attempt_fate fate);

    /// @return whether the request may be attempted again
    bool may_run_again(urgent_request const& request, attempt_fate fate) const;

    /// @return whether an attempt may have run at this target
    bool has_run_at(std::string_view target_id) const;

    /// @return the targets that are not to be tried next
    std::vector<std::string> excluded_targets() const;

    /// Says how the request ended. The code is a "not run" code only if every
    /// attempt was refused, fenced or never sent.
    core::error final_error(urgent_request const& request) const;

    dispatch_end end = dispatch_end::last_outcome;
    std::vector<std::string> refused_targets; ///< may be tried again later

private:
    core::error unresolved_error(urgent_request const& request) const;
    core::error not_run_error() const;

    std::vector<std::string> used_targets_;
    bool has_unresolved_ = false;
    bool has_ended_badly_ = false;
    core::error last_bad_end_; ///< of an attempt that ran
    core::error last_refusal_;
};

} // namespace sequoiaroute::targets
