#pragma once

#include "agents/executor_runtime.hpp"
#include "agents/filler_throttle.hpp"
#include "core/clock.hpp"
#include "jobs/worker_report.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sequoiaroute::agents {

/// The orders that stand for a worker and how far each has come. Pure: it
/// decides what to call next, and is told how the calls went.
///
/// A start may be sent again until it is answered, since the executor knows
/// the run by its number. An order that was sent and not answered may be
/// carried out seconds later; such a run counts as ended only after a stop of
/// it, which makes the executor refuse it, and lists that do not show it.
class run_tracker
{
public:
    /// What to do about a run.
    struct action
    {
        enum class kind
        {
            start,
            stop,
        };

        kind what = kind::start;
        jobs::run_order order;
    };

    /// Adds or changes an order.
    /// @param may_be_sent an earlier process may have sent the start; the
    ///        executor's lists are awaited before it is sent again
    void put(jobs::run_order order, bool may_be_sent);

    /// The decider has taken note of the end.
    void remove(jobs::run_id const& run);

    /// Restores an end that was reported earlier.
    void restore_end(jobs::ended_task ended);

    /// Tells which life of the executor is there, and whether it takes starts.
    void set_executor(jobs::worker_description const& worker);

    /// Takes note of the executor's lists.
    /// @param lists what the executor said
    /// @param asked_at when it was asked; a start answered later may be
    ///        missing
    void receive(executor_snapshot const& lists, core::time_point asked_at);

    /// Takes note of the answer to an order.
    void receive_answer(action const& sent, order_reply const& reply,
                        core::time_point now);

    /// @param now the current time
    /// @param may_start whether the life of the executor that is known was seen
    ///        a moment ago; it may start again under its id, and a start would
    ///        reach the new life
    /// @return the calls to make now; each counts as under way until its
    ///         answer is given to receive_answer()
    std::vector<action> next_actions(core::time_point now, bool may_start);

    /// @return runs that the executor has and nobody ordered
    std::vector<jobs::run_id> const& unordered() const { return unordered_; }

    std::vector<jobs::running_task> running() const;

    /// @return what runs, as far as it matters for the throttle of fillers
    std::vector<filler_throttle::subject> pace_subjects() const;
    std::vector<jobs::ended_task> ended() const;

    /// @return a number that changes with each new end
    std::uint64_t end_count() const { return end_count_; }

    /// @return a number that changes with each new end for which urgent work
    ///         waits: its own, or that of a run that was to make room
    std::uint64_t awaited_end_count() const { return awaited_end_count_; }

    /// @return the newest life of the executor for which there is an order
    std::optional<jobs::incarnation> newest_executor() const;

    /// @return whether the executor's lists are needed to go on
    bool needs_lists() const;

private:
    struct entry
    {
        jobs::run_order order;
        bool is_under_way = false; ///< a call waits for its answer
        bool may_be_sent = false;  ///< a start was sent at some time
        bool awaits_lists = false; ///< nothing is sent before
        std::optional<core::time_point> started_at;
        std::optional<core::time_point> stopped_at;
        core::time_point retry_at{};
        std::int32_t refusals = 0;
        /// The executor refused the start. A stop keeps an earlier start from
        /// being carried out late; then the lists show whether it has ended.
        bool is_to_bar = false;
        std::optional<jobs::running_task> running;
        std::optional<jobs::ended_task> ended;
    };

    void end(entry& target, jobs::run_end how, std::string checkpoint);
    bool wants_stop(entry const& target) const;
    void receive_start_answer(entry& target, order_reply const& reply,
                              core::time_point now);

    std::map<jobs::run_id, entry> runs_;
    jobs::worker_description worker_;
    std::vector<jobs::run_id> unordered_;
    bool has_held_start_ = false; ///< a start waits until it may be sent
    std::uint64_t end_count_ = 0;
    std::uint64_t awaited_end_count_ = 0;
};

} // namespace sequoiaroute::agents
