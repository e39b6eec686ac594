#pragma once

#include "core/clock.hpp"
#include "core/codec.hpp"
#include "core/sharded_map.hpp"
#include "peers/messages.hpp"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

namespace sequoiaroute::workers {

/// Limits of an attempt_registry.
struct registry_limits
{
    /// How long an ended attempt and its answer are kept.
    core::duration answer_retention{600'000};
    /// How long a fence is kept. Longer than the time limit of any request, so
    /// that no dispatch can arrive after it.
    core::duration fence_retention{3'600'000};
    /// Total size of the kept answer bodies in bytes; beyond it the oldest
    /// bodies are dropped.
    std::size_t answer_bytes = 32'000'000;
};

/// Records the attempts of requests at this agent, so that each attempt runs at
/// most once and its answer can be queried later. Thread-safe.
class attempt_registry
{
public:
    /// Result of begin().
    struct begin_result
    {
        bool is_new = false; ///< true if the caller must run the attempt
        peers::attempt_answer answer; ///< state of the attempt, and its answer
    };

    /// @param clock the time source
    /// @param limits retention times and the size limit
    attempt_registry(core::clock const& clock, registry_limits limits)
        : clock_(clock), limits_(limits)
    {
    }

    /// Records a dispatched attempt as running, unless it is already recorded
    /// or fenced.
    /// @param request the dispatch
    /// @return whether the attempt is new, and its state and answer
    begin_result begin(peers::dispatch const& request);

    /// Records the final answer of an attempt. Has no effect if the attempt is
    /// not recorded.
    /// @param answer the final answer
    void finish(peers::attempt_answer const& answer);

    /// Fences an attempt: if it has not been dispatched yet, a later dispatch
    /// is refused.
    /// @param attempt_id the attempt
    /// @return state fenced, or the state and answer of an attempt that was
    ///         dispatched earlier
    peers::attempt_answer fence(std::string const& attempt_id);

    /// Looks up an attempt by its id, or the latest attempt of a request.
    /// @param reference the attempt id; if that is empty, customer and request
    /// @return the state and answer; state unknown if there is no such attempt
    peers::attempt_answer query(peers::attempt_reference const& reference);

    /// Removes the ended attempts and fences whose retention time is over. Must
    /// be called periodically.
    void expire();

    /// @return the number of attempts by state, and the size of the kept answer
    ///         bodies in bytes
    core::json dump();

private:
    struct record
    {
        std::string request_key; ///< CUSTOMER/REQUEST, empty for a fence
        peers::attempt_answer answer;
    };

    struct retained_attempt
    {
        std::string attempt_id;
        core::time_point ended_at;
        std::size_t bytes = 0; ///< size of the kept answer body
    };

    /// Queues an ended attempt for expiry, and drops the oldest bodies if the
    /// size limit is exceeded.
    void retain_answer(std::string const& attempt_id, std::size_t bytes);
    void drop_body(std::string const& attempt_id);
    void erase_attempt(std::string const& attempt_id);
    /// @return the id of the attempt, empty if there is none
    std::string find_attempt(peers::attempt_reference const& reference);

    core::clock const& clock_;
    registry_limits limits_;
    core::sharded_map<record> records_; ///< by attempt id
    /// Id of the latest attempt by request key.
    core::sharded_map<std::string> latest_attempts_;
    std::mutex retention_mutex_; ///< guards the members below
    // The queues below hold the oldest attempt first.
    std::deque<retained_attempt> attempts_with_body_;
    std::deque<retained_attempt> attempts_without_body_; ///< body was dropped
    std::deque<retained_attempt> fenced_attempts_;
    std::size_t answer_bytes_ = 0; ///< sum over attempts_with_body_
};

} // namespace sequoiaroute::workers
