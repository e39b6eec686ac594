#pragma once

#include "core/clock.hpp"
#include "peers/link.hpp"
#include "peers/messages.hpp"
#include "targets/attempt_outcome.hpp"
#include "targets/target_directory.hpp"

#include <functional>
#include <optional>
#include <string>

namespace sequoiaroute::targets {

/// Blocks the calling thread for a time; tests move their clock instead.
using sleep_function = std::function<void(core::duration)>;

/// Runs one attempt at one target: dispatch, and if the answer is missing,
/// query and fence (section 3.4 of the design).
class attempt_runner
{
public:
    attempt_runner(peers::link_pool& links, target_directory& directory,
                   core::clock const& clock, sleep_function pause);

    /// Dispatches an attempt and finds out what became of it.
    /// @param target the target as it was reported
    /// @param message the dispatch; its time limit is set here
    /// @param deadline when the caller stops waiting
    /// @return the fate of the attempt
    attempt_outcome run(peers::target_report const& target,
                        peers::dispatch message, core::time_point deadline);

private:
    struct attempt
    {
        peers::target_report const& target;
        std::string attempt_id;
        core::time_point deadline;
    };

    enum class incarnation_check
    {
        none,
        same_as_reported,
    };

    core::duration remaining(core::time_point deadline) const;
    core::result<peers::answer_envelope> ask(attempt const& attempt,
                                             std::string_view kind);
    std::optional<attempt_outcome>
    interpret_dispatch(attempt const& attempt,
                       peers::answer_envelope const& envelope) const;
    std::optional<attempt_outcome> interpret(
        attempt const& attempt, peers::answer_envelope const& envelope,
        incarnation_check check = incarnation_check::same_as_reported) const;
    attempt_outcome resolve(attempt const& attempt, attempt_outcome fallback);
    std::optional<attempt_outcome> query_until_known(attempt const& attempt,
                                                     attempt_outcome& fallback);
    core::result<peers::answer_envelope> fence(attempt const& attempt);

    peers::link_pool& links_;
    target_directory& directory_;
    core::clock const& clock_;
    sleep_function pause_;
};

} // namespace sequoiaroute::targets
