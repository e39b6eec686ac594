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

/// Blocks the calling thread for a duration; tests advance their clock instead.
using sleep_function = std::function<void(core::duration)>;

/// Runs one attempt at one target and determines its outcome: dispatches it
/// and, if the answer is missing, queries the agent and then fences the attempt
/// so that it can no longer start (docs/design.md, section 3.4). Thread-safe.
class attempt_runner
{
public:
    /// All references must outlive this object.
    /// @param links connections to the agents
    /// @param directory is updated with each contact and failed call
    /// @param clock the time source for deadlines
    /// @param sleep waits between queries
    attempt_runner(peers::link_pool& links, target_directory& directory,
                   core::clock const& clock, sleep_function sleep);

    /// Dispatches an attempt and blocks until its outcome is known or cannot
    /// be determined.
    /// @param target the latest report of the target
    /// @param message the dispatch; its time_limit_ms is set here
    /// @param deadline when the caller stops waiting; resolving a missing
    ///        answer may overrun it by a few calls with the minimum timeout
    /// @return the outcome; unresolved if the attempt may have run
    attempt_outcome run(peers::target_report const& target,
                        peers::dispatch message, core::time_point deadline);

private:
    /// The attempt that is being run.
    struct attempt
    {
        peers::target_report const& target;
        std::string attempt_id;
        core::time_point deadline;
    };

    /// Whether an answer must come from the reported agent incarnation.
    enum class incarnation_check
    {
        none,
        same_as_reported,
    };

    /// @return the time until the deadline, 0 if it has passed
    core::duration remaining_time(core::time_point deadline) const;
    /// Sends a message about the attempt to its agent.
    /// @param kind message_kind::query or message_kind::fence
    core::result<peers::answer_envelope> call_agent(attempt const& attempt,
                                                    std::string_view kind);
    /// @return the outcome that the answer to the dispatch itself states;
    ///         nothing if the answer is inconclusive
    std::optional<attempt_outcome>
    interpret_dispatch(attempt const& attempt,
                       peers::answer_envelope const& envelope) const;
    /// @param check required for refused and fenced, because only the
    ///        incarnation that received the dispatch knows that it did not run
    /// @return the outcome that an answer states; nothing if the answer is
    ///         unreadable, belongs to another attempt or is inconclusive
    std::optional<attempt_outcome> interpret(
        attempt const& attempt, peers::answer_envelope const& envelope,
        incarnation_check check = incarnation_check::same_as_reported) const;
    /// Determines the outcome of an attempt whose answer is missing or
    /// incomplete.
    /// @param fallback the outcome if nothing better can be determined
    attempt_outcome resolve(attempt const& attempt, attempt_outcome fallback);
    /// Queries the agent while the attempt runs, until the deadline.
    /// @param fallback replaced if the agent sends an incomplete answer
    /// @return the outcome; nothing if the queries did not determine it
    std::optional<attempt_outcome> query_until_known(attempt const& attempt,
                                                     attempt_outcome& fallback);
    /// Tells the agent to refuse the attempt unless it has already started.
    core::result<peers::answer_envelope> fence(attempt const& attempt);

    peers::link_pool& links_;
    target_directory& directory_;
    core::clock const& clock_;
    sleep_function sleep_;
};

} // namespace sequoiaroute::targets
