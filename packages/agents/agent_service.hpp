#pragma once

#include "agents/executor_runtime.hpp"
#include "agents/run_tracker.hpp"
#include "core/backoff.hpp"
#include "event/timer_service.hpp"
#include "jobs/lease_timing.hpp"
#include "jobs/worker_report.hpp"
#include "notices/notice_sender.hpp"
#include "rows/answer_time.hpp"
#include "rows/row_store.hpp"
#include "rows/table_replica.hpp"

#include <memory>
#include <optional>
#include <string>

namespace sequoiaroute::agents {

/// The agent beside an executor: carries out the orders in the store, keeps
/// the executor's lease while the store knows that the agent is there, and
/// reports how the runs go. An end is acknowledged to the executor only after
/// the report that lists it is stored.
class agent_service
{
public:
    struct options
    {
        std::string agent; ///< name of this agent, unique in the fleet
        jobs::lease_timing timing;
    };

    /// @param store where orders and reports are
    /// @param timers time
    /// @param runtime the executor
    /// @param notices tells the decider of what it waits for
    /// @param settings names and times
    agent_service(rows::row_store& store, event::timer_service& timers,
                  executor_runtime& runtime, notices::notice_sender& notices,
                  options settings);

    /// Begins: reads the orders and the last report, then serves.
    void start();

    /// Takes note of what the executor says of itself.
    /// @param worker what it says
    /// @param sequence rises with each message of one life
    void receive_heartbeat(jobs::worker_description worker,
                           std::int64_t sequence);

    /// Takes note of orders that the decider announced.
    void receive_notice(notices::row_notice notice);

    /// The executor has ended.
    void mark_executor_gone(std::string const& executor_id);

private:
    void load_report();
    void receive_order(rows::row const& changed);
    void serve();
    void act();
    void send(run_tracker::action const& action);
    void poll();
    void look();
    std::optional<std::int64_t> extend_lease();
    void receive_lists(executor_snapshot const& lists,
                       core::time_point asked_at);
    void receive_silence(bool is_refused);
    void stop_unordered();
    void pace_fillers();
    void update_executor(jobs::worker_description worker);
    void assume_executor_of_orders();

    void publish_if_due();
    void publish();
    void tell_decider();
    void receive_published(rows::commit_result const& result,
                           std::int64_t acknowledged);
    jobs::worker_report make_report() const;
    std::int64_t lease_end_ms() const;
    bool may_extend_lease() const;
    void note_clock(std::int64_t clock_ms);
    void note_store_time(core::duration store_time);

    rows::row_store& store_;
    event::timer_service& timers_;
    executor_runtime& runtime_;
    notices::notice_sender& notices_;
    options options_;
    rows::table_replica orders_;
    run_tracker book_;
    filler_throttle pace_;
    jobs::worker_description worker_;
    std::int64_t sequence_ = 0;
    bool is_serving_ = false;
    /// The executor is known from orders only; nothing is said of it.
    bool is_worker_assumed_ = false;

    // The executor's clock.
    std::int64_t clock_ms_ = 0;
    core::time_point clock_read_at_{};

    /// When the executor was asked for the last lists of the life that is
    /// known.
    core::time_point life_seen_at_{};
    bool is_holding_ = false;
    bool is_looking_ = false;
    core::time_point look_allowed_at_{};
    std::optional<core::time_point> refused_since_;
    core::time_point hold_allowed_at_{};
    core::time_point last_extended_at_{};
    std::int64_t acknowledged_ = 0;
    std::int64_t highest_listed_ = 0;

    /// Where the decider takes reports; empty while it is not known.
    std::string decider_address_;
    std::uint64_t told_ends_ = 0;
    bool is_state_untold_ = false;

    // The report in the store.
    rows::row_version report_version_ = rows::no_row;
    std::string current_report_;
    rows::answer_time answer_time_;
    core::backoff publish_delays_;
    bool is_publishing_ = false;
    bool is_report_urgent_ = true;
    std::uint64_t published_ends_ = 0;
    std::uint64_t publishing_ends_ = 0;
    core::time_point published_at_{};
    core::time_point publish_started_at_{};
    std::optional<core::time_point> store_contact_at_;
    /// The store's clock when it was last read, and when that was.
    core::duration store_time_{0};
    core::time_point store_time_read_at_{};
    /// When the last report of an earlier process was written.
    core::duration earlier_report_at_{0};

    std::unique_ptr<event::timer> tick_timer_;
    std::unique_ptr<event::timer> load_timer_;
    std::unique_ptr<event::timer> publish_timer_;
    std::unique_ptr<event::timer> hold_timer_;
    std::unique_ptr<event::timer> act_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sequoiaroute::agents
