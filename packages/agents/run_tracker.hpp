#pragma once

#include "agents/executor_runtime.hpp"
#include "agents/filler_throttle.hpp"
#include "core/clock.hpp"
#include "jobs/worker_report.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiaroute::agents {

/// Tracks the orders of one worker and the state of their runs. Performs no I/O
/// itself: it determines the next calls to the executor, and receives their
/// answers.
///
/// Starts are idempotent, since the executor knows a run by its number, so a
/// start is retried until it is answered. An unanswered order may still take
/// effect seconds later. Such a run therefore counts as ended only after
/// the executor has confirmed a stop, which makes it refuse a late start, and a
/// later snapshot does not list the run.
class run_tracker
{
public:
    /// A call to make to the executor.
    struct action
    {
        enum class kind
        {
            start,
            stop,
        };

        kind type = kind::start;
        jobs::run_order order;
    };

    /// Whether runs may be started now, or why not.
    enum class start_permission
    {
        granted,
        /// The executor may have restarted under the same id, and a start would
        /// reach the new incarnation. The next snapshot shows which one it is.
        incarnation_unconfirmed,
        /// No lease may be granted to the run.
        no_lease,
    };

    /// Adds an order, or replaces the order of the same run.
    /// @param order the order
    /// @param may_have_started whether an earlier process may have sent the
    ///        start; if so, the next call waits for a snapshot. Ignored if the
    ///        run is already tracked.
    void put_order(jobs::run_order order, bool may_have_started);

    /// Stops tracking a run. The decider removes an order once it has recorded
    /// the end of the run. If the run may still be there, no other one is
    /// started before a snapshot shows that it has ended.
    void remove_order(jobs::run_id const& run);

    /// Restores an end from the last stored report. It takes precedence over
    /// one that was inferred since, but not over one that the executor has
    /// listed. Has no effect on runs that have no order.
    void restore_end(jobs::ended_run ended);

    /// Sets the session of the agent. Runs whose orders name another one are
    /// not started any more; those that were not started before end as stopped.
    /// Orders without a session count as of the session in which they arrive.
    /// @param session the id of the session; not empty
    void set_session(std::string session);

    /// Sets the executor's current incarnation and state. Runs are started only
    /// in state `ready`.
    void set_executor(jobs::worker_description const& worker);

    /// Runs of other incarnations end only once the current one is confirmed: a
    /// restarted agent knows it from a report or orders that may be outdated.
    void set_executor_confirmed(bool is_confirmed)
    {
        is_executor_confirmed_ = is_confirmed;
    }

    /// Gives up runs that have not started by the deadlines of their orders.
    /// They end as stopped, and are not started any more.
    /// @param store_time the current time, by the store's clock; not earlier
    ///        than the true one
    /// @return the runs that have been given up
    std::vector<jobs::run_id> expire_orders(core::duration store_time);

    /// Updates all runs from a snapshot of the executor.
    /// @param snapshot a snapshot with `is_ok`
    /// @param requested_at when it was requested; runs whose start or stop was
    ///        confirmed later may be outdated in it
    void receive_snapshot(executor_snapshot const& snapshot,
                          core::time_point requested_at);

    /// Records the executor's reply to an action.
    void receive_answer(action const& sent, order_reply const& reply,
                        core::time_point now);

    /// @param now the current time
    /// @param permission whether runs may be started now
    /// @return the calls to make now; the caller must pass the reply to each of
    ///         them to receive_answer()
    std::vector<action> next_actions(core::time_point now,
                                     start_permission permission);

    /// @return runs that may be running without an order, or although their end
    ///         has been recorded
    std::vector<jobs::run_id> const& runs_without_order() const
    {
        return runs_without_order_;
    }

    /// @return the runs that are running according to the last snapshot
    std::vector<jobs::active_run> running() const;

    /// @return the running tasks, as input to filler_throttle::update()
    std::vector<filler_throttle::observed_run> observed_runs() const;

    /// @return the ended runs whose orders have not been removed, and those
    ///         without an order that the last snapshot lists
    std::vector<jobs::ended_run> ended() const;

    /// @return the number of ends recorded so far; changes with each new end
    std::uint64_t end_count() const { return end_count_; }

    /// @return the number of recorded ends that urgent work may wait for: those
    ///         of urgent runs, and of runs that were ordered to stop, as
    ///         preempted runs are
    std::uint64_t urgent_end_count() const { return urgent_end_count_; }

    /// @return the newest incarnation that any order names, but for those that
    ///         are known to have ended; nothing if there is none
    std::optional<jobs::incarnation> newest_ordered_incarnation() const;

    /// @return whether a run cannot proceed until the next snapshot
    bool needs_snapshot() const;

    /// @return whether some runs of earlier incarnations have not ended, since
    ///         the current one may have carried out their starts. It must not
    ///         be reported before, since the decider takes such runs as lost.
    bool has_replaced_runs() const;

private:
    struct tracked_run
    {
        jobs::run_order order;
        bool is_call_pending = false;  ///< a call has not been answered yet
        bool may_have_started = false; ///< a start has been sent at some time
        bool awaits_snapshot = false;  ///< no call may be made before it
        /// A start was not answered, so it may take effect later.
        bool has_unanswered_start = false;
        /// A snapshot of the ordered incarnation has listed the run.
        bool was_listed = false;
        /// When the executor confirmed the start.
        std::optional<core::time_point> start_confirmed_at;
        /// When the executor confirmed the stop.
        std::optional<core::time_point> stop_confirmed_at;
        /// Since when the order names an incarnation that is neither the
        /// current one nor known to have ended.
        std::optional<core::time_point> unknown_since;
        core::time_point retry_at{};
        std::int32_t failed_starts = 0;
        /// The executor refused the start, or failed to take it too often. A
        /// stop then prevents earlier starts from taking effect late, and the
        /// next snapshot shows whether the run has ended.
        bool is_start_abandoned = false;
        bool has_expired = false; ///< not started by its deadline
        std::optional<jobs::active_run> running;
        std::optional<jobs::ended_run> ended;
        bool is_end_listed = false; ///< the executor has listed the end
    };

    /// Records that the current incarnation has ended.
    void record_ended_incarnation(jobs::incarnation const& successor);
    /// Records that the incarnations of orders have ended that were unknown
    /// when a snapshot of the current one was requested.
    void record_unknown_incarnations(core::time_point requested_at);
    void end(tracked_run& tracked, jobs::run_end end_kind,
             std::string checkpoint);
    /// @return whether the order is of an earlier session, and its run is not
    ///         running
    bool is_outdated(tracked_run const& tracked) const;
    bool needs_stop(tracked_run const& tracked) const;
    /// @return whether the next call for the run may be its start
    static bool awaits_start(tracked_run const& tracked);
    /// @return whether an incarnation is known to have ended although its start
    ///         may be later than that of the current one
    bool has_ended(jobs::incarnation const& other) const;
    /// @return whether the run was ordered for an incarnation that the current
    ///         one, or an earlier one, has replaced, also if its start time is
    ///         later than that of the current one
    bool is_replaced(tracked_run const& tracked) const;
    /// Ends a run of an earlier incarnation, or determines the call that has to
    /// precede its end.
    void end_replaced(tracked_run& tracked, std::vector<action>& actions);
    /// @return how a run has ended that a snapshot after its stop does not list
    jobs::run_end end_after_stop(tracked_run const& tracked) const;
    void receive_start_answer(tracked_run& tracked, order_reply const& reply,
                              core::time_point now);

    std::map<jobs::run_id, tracked_run> runs_;
    std::string session_;
    jobs::worker_description worker_;
    bool is_executor_confirmed_ = true;
    /// Ended incarnations whose start times are later than the current one.
    /// Those that they replaced have ended as well.
    std::set<jobs::incarnation> ended_incarnations_;
    std::vector<jobs::run_id> runs_without_order_;
    /// The ends in the last snapshot of runs that have no order. The decider
    /// may have taken such a run as lost before its end became known.
    std::vector<jobs::ended_run> ends_without_order_;
    /// A start is due, but waits for what the next snapshot shows.
    bool has_deferred_start_ = false;
    std::uint64_t end_count_ = 0;
    std::uint64_t urgent_end_count_ = 0;
};

} // namespace sequoiaroute::agents
