#pragma once

#include "event/timer_service.hpp"
#include "jobs/rules.hpp"
#include "notices/notice_sender.hpp"
#include "rows/row_store.hpp"
#include "rows/table_replica.hpp"
#include "scheduler/commit_queue.hpp"
#include "scheduler/lease_candidate.hpp"
#include "scheduler/order_loader.hpp"
#include "scheduler/pending_notices.hpp"
#include "scheduler/scheduler_core.hpp"

#include <functional>
#include <memory>
#include <string>

namespace sequoiaroute::scheduler {

/// Takes part in the election of the decider and, while this process holds the
/// lease, runs scheduling rounds and stores their changes. One entry at a time
/// is the decider; the lease row names it.
class decider_service final : private commit_observer
{
public:
    struct options
    {
        std::string node; ///< name of this process
        /// IP:PORT on which this process receives notices; agents receive
        /// theirs on the same port.
        std::string address;
        scheduler_limits limits;
        jobs::evacuation_timing evacuation;
    };

    /// How to notify other processes without the store.
    struct peers
    {
        notices::notice_sender& sender;
        /// Returns the IP:PORT of each other entry.
        std::function<std::vector<std::string>()> entries;
    };

    /// @param store the store
    /// @param timers clock and timers
    /// @param work replica of the work table, with the jobs and the lease; the
    ///        caller passes each changed row to observe()
    /// @param rules returns the rules in force; may return null
    /// @param evacuations the data centres in which no task may start
    /// @param other_processes how to notify other processes
    /// @param advice issues the tickets that some queues need
    /// @param settings names and limits
    decider_service(rows::row_store& store, event::timer_service& timers,
                    rows::table_replica const& work,
                    std::function<std::shared_ptr<jobs::rules const>()> rules,
                    evacuation_source const& evacuations, peers other_processes,
                    advice_service& advice, options settings);
    ~decider_service() override;

    /// Begins to take part in elections.
    void start();

    /// Handles a changed row of the work table: the lease, a job or a
    /// cancellation.
    void observe(rows::row const& changed);

    /// Handles a report that an agent sent directly, not through the store.
    /// @param encoded_report the report, as jobs::encode() returns it
    /// @return whether this process is the decider and has loaded its state
    bool receive_report(std::string const& encoded_report);

    /// Tries to acquire the lease without waiting for it to expire. Called when
    /// the present decider cannot reach the store.
    void take_over() { candidate_.take_over(); }

    /// Requests other entries to take over, if this process is the decider.
    void request_takeover();

    /// Stops taking part in elections and scheduling, and releases the lease,
    /// if held, once all changes are stored.
    void stop();

    /// @return IP:PORT on which the decider receives notices; empty if unknown
    std::string const& decider_address() const
    {
        return candidate_.observed().address;
    }

    /// @return whether this process holds the lease, as far as it knows
    bool is_decider() const { return commit_queue_ != nullptr; }

private:
    void on_committed(rows::transaction const& written,
                      rows::row_version version) override;
    void on_idle() override;
    void on_lease_lost() override;
    /// Queues the changes of a round for writing, and the notices of them.
    void store_changes(std::vector<job_change> changes);
    void observe_lease(rows::row const& changed);
    /// @return when a job was accepted, by the clock of this process
    core::time_point acceptance_time(jobs::submission const& job) const;
    /// Runs a round or, if this process is not the decider, checks whether the
    /// lease is vacant or has expired.
    void on_tick();
    /// Begins to load the orders and reports.
    void become_decider(lease_candidate::acquisition const& acquired);
    /// Drops all state of the decider.
    void resign(std::string_view reason);
    /// Passes a stored report to the core.
    /// @param is_initial_load whether it was read at the takeover and may be
    ///        outdated
    void observe_report(rows::row const& changed, bool is_initial_load);
    /// Creates and fills the core once the work table, as of the acquisition of
    /// the lease, all orders and all reports have been read.
    void build_core_if_loaded();
    /// Passes a job or a cancellation to the core.
    void apply_row(rows::row const& changed);
    /// Records the time from the arrival of each job to its first order.
    void record_job_waits(std::vector<job_change> const& changes);
    /// Requests a round, which runs after a short delay.
    void schedule_round();
    /// Runs a round if one was requested and the last one is stored.
    void run_round();
    void request_advice();
    std::vector<job_change> retire_jobs(std::vector<job_change> changes);
    /// Removes the rows of a job that entries wrote, then those of the decider.
    void retire_job(job_change change);
    decision_time current_decision_time() const;
    void restore_speeds();
    /// Stores what has been learnt of the speed of workers, if it has changed.
    void store_speeds();
    /// @return the limits of the next round; logs when it holds starts back
    start_limits current_start_limits();

    rows::row_store& store_;
    event::timer_service& timers_;
    rows::table_replica const& work_;
    std::function<std::shared_ptr<jobs::rules const>()> rules_;
    evacuation_source const& evacuations_;
    peers peers_;
    advice_service& advice_;
    options options_;

    lease_candidate candidate_;
    bool is_stopped_ = false;

    // State of the decider; null or empty without the lease.
    std::unique_ptr<commit_queue> commit_queue_;
    /// The version of the lease row when the lease was acquired; identifies the
    /// term in callbacks.
    rows::row_version acquired_version_ = rows::no_row;
    std::unique_ptr<rows::table_replica> report_replica_;
    std::unique_ptr<order_loader> order_loader_;
    std::unique_ptr<scheduler_core> core_;
    /// When each job without an order yet was read, by job id.
    std::map<std::string, core::time_point> jobs_without_order_;
    pending_notices pending_notices_;
    bool is_round_needed_ = false;
    bool are_starts_held_ = false; ///< in the last round
    bool is_advice_pending_ = false;
    std::string stored_speeds_; ///< as last written to their row
    core::time_point speeds_stored_at_{};
    std::int64_t unix_offset_ms_; ///< time of day minus steady clock

    std::unique_ptr<event::timer> tick_timer_;
    std::unique_ptr<event::timer> round_timer_;
    std::unique_ptr<event::timer> resign_timer_;
    std::unique_ptr<event::timer> advice_timer_;
    /// Lets callbacks of the store and the advice service detect that this
    /// object is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sequoiaroute::scheduler
