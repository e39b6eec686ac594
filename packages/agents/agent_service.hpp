#pragma once

#include "agents/end_acknowledgement.hpp"
#include "agents/executor_announcement.hpp"
#include "agents/executor_lease.hpp"
#include "agents/executor_runtime.hpp"
#include "agents/report_publisher.hpp"
#include "agents/run_tracker.hpp"
#include "event/timer_service.hpp"
#include "jobs/lease_timing.hpp"
#include "jobs/worker_report.hpp"
#include "notices/notice_sender.hpp"
#include "rows/row_store.hpp"
#include "rows/table_replica.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sequoiaroute::agents {

/// The agent of one executor. Carries out the orders that the decider has
/// stored, extends the executor's lease as long as the store confirms that the
/// agent is alive, and publishes the state of the runs as a report in the
/// store. The end of a run is acknowledged to the executor only after the
/// report that lists it has been stored.
class agent_service
{
public:
    struct options
    {
        std::string agent; ///< name of this agent, unique in the fleet
        jobs::lease_timing timing;
    };

    /// @param store contains the orders and the report
    /// @param timers clock and timers
    /// @param runtime the executor
    /// @param notices sends reports to the decider ahead of the store
    /// @param settings name and lease timing of this agent
    agent_service(rows::row_store& store, event::timer_service& timers,
                  executor_runtime& runtime, notices::notice_sender& notices,
                  options settings);

    /// Loads the last report and the orders, then starts to carry them out.
    void start();

    /// Updates the worker from a heartbeat of its executor. Heartbeats are
    /// ignored if they arrive out of order, or come from an incarnation that is
    /// gone. One that names another incarnation than the current one counts
    /// only once that one answers at the executor's address.
    /// @param worker the executor's description of the worker
    /// @param sequence increases with each heartbeat of an incarnation
    void receive_heartbeat(jobs::worker_description worker,
                           std::int64_t sequence);

    /// Applies rows that the decider has announced before the store's feed
    /// delivers them, and sends further reports to that decider.
    void receive_notice(notices::row_notice notice);

    /// Reports that an executor has announced its end. Ignored unless it is the
    /// current one. The executor may run on for seconds, so it counts as gone
    /// only once its lease has expired.
    /// @param executor_id the id of the executor
    /// @param born_ms its start time; nullopt if it gave none
    void receive_deregistration(std::string const& executor_id,
                                std::optional<std::int64_t> born_ms);

private:
    void accept_heartbeat(jobs::worker_description worker,
                          std::int64_t sequence);
    bool needs_confirmation(jobs::worker_description const& announced) const;
    /// @return whether the executor is known to have ended, so that it cannot
    ///         return as the same incarnation
    bool has_left() const;
    void receive_order(rows::row const& changed);
    void on_orders_updated();
    void advance_runs();
    void send_order(run_tracker::action const& action,
                    core::time_point sent_at);
    void poll_executor();
    void send_poll(core::time_point now, core::duration wait,
                   std::function<void(executor_snapshot)> done);
    void refresh_snapshot();
    run_tracker::start_permission start_permission(core::time_point now) const;
    void receive_snapshot(executor_snapshot const& snapshot,
                          core::time_point requested_at);
    /// Drops an announcement, since the current executor still answers.
    void reject_announcement();
    void receive_poll_failure(bool is_connection_refused);
    bool refuses_connections() const;
    bool have_all_runs_ended() const;
    bool is_gone_behind_broken_path() const;
    void avoid_executor();
    /// Counts the executor as gone until a heartbeat shows that it exists.
    void presume_gone(std::string_view cause);
    void mark_executor_gone(std::string_view cause);
    void stop_runs_without_order();
    void throttle_fillers();
    void update_executor(jobs::worker_description worker);
    void infer_executor_from_orders();
    void restore_ends(jobs::worker_report const& earlier);

    /// @return whether the worker is known well enough for a report on it
    bool may_report() const;
    void publish_report_if_due();
    void publish_report();
    void notify_decider();
    jobs::worker_report make_report();

    event::timer_service& timers_;
    executor_runtime& runtime_;
    notices::notice_sender& notices_;
    options options_;
    rows::table_replica orders_;
    std::map<rows::row_key, jobs::run_id> runs_by_row_;
    run_tracker tracker_;
    filler_throttle throttle_;
    jobs::worker_description worker_;
    std::int64_t sequence_ = 0; ///< of the last heartbeat
    bool is_serving_ = false;   ///< the orders have been loaded
    /// The executor is known from orders only. Nothing is reported about it
    /// until it sends a heartbeat or is found to be gone.
    bool is_worker_inferred_ = false;
    /// The executor has announced its end. Its lease is not extended any more.
    bool has_deregistered_ = false;
    /// The executor counts as gone because it could not be reached until its
    /// lease ran out. Its next heartbeat shows that it still exists.
    bool is_presumed_gone_ = false;
    /// A heartbeat that names another incarnation than the current one, or that
    /// arrived before the orders were loaded.
    executor_announcement announced_;
    executor_lease lease_;

    /// When the last snapshot that came from the current incarnation was
    /// requested.
    core::time_point incarnation_confirmed_at_{};
    bool is_polling_ = false;
    bool is_refreshing_ = false;
    core::time_point next_refresh_at_{};
    /// Since when the executor refuses connections.
    std::optional<core::time_point> refused_since_;
    core::time_point next_poll_at_{};
    end_acknowledgement ends_;

    /// IP:PORT to which reports are sent; empty if the decider is unknown.
    std::string decider_address_;
    std::uint64_t notified_end_count_ = 0;
    /// The executor's state has changed since the decider was last notified.
    bool is_state_change_unsent_ = false;

    report_publisher publisher_;
    std::uint64_t published_end_count_ = 0;

    std::unique_ptr<event::timer> tick_timer_;
    std::unique_ptr<event::timer> poll_timer_;
    std::unique_ptr<event::timer> advance_timer_;
    /// Callbacks hold it weakly, and do nothing once this object is destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sequoiaroute::agents
