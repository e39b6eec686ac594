#pragma once

#include "agents/agent_session.hpp"
#include "core/backoff.hpp"
#include "event/timer_service.hpp"
#include "jobs/lease_timing.hpp"
#include "jobs/worker_report.hpp"
#include "rows/latency_estimator.hpp"
#include "rows/row_store.hpp"
#include "rows/store_clock.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiaroute::agents {

/// Stores the reports of an agent, one at a time, and keeps the agent's session
/// by the times at which they are stored.
class report_publisher
{
public:
    /// Receives the outcome of publish().
    /// @param sent_at when the report was sent, if it is stored; otherwise a
    ///        new report may be published now
    using callback =
        std::function<void(std::optional<core::time_point> sent_at)>;

    /// What the owner is notified of.
    struct observer
    {
        /// Receives the id of each new session.
        std::function<void(std::string const&)> on_session;
        /// Receives the stored report of an earlier process, if load() has not
        /// read it.
        std::function<void(jobs::worker_report const&)> on_earlier_report;
    };

    /// @param store contains the report
    /// @param timers clock and timers
    /// @param agent the id of the agent
    /// @param timing the lease timing that agent and decider share
    /// @param notified what the owner is notified of
    report_publisher(rows::row_store& store, event::timer_service& timers,
                     std::string agent, jobs::lease_timing timing,
                     observer notified);

    /// Reads the last report of an earlier process of this agent, until it
    /// succeeds, and begins a session.
    /// @param on_loaded called once
    void load(std::function<void()> on_loaded);

    /// @return the last report of an earlier process, if there is one
    std::optional<jobs::worker_report> const& previous_report() const
    {
        return previous_report_;
    }

    /// Has a report stored without waiting for the report period.
    void mark_outdated() { is_outdated_ = true; }

    /// Begins a new session, since the decider may have taken the runs of the
    /// present one as ended.
    /// @param reason the reason as logged
    void begin_session(std::string_view reason);

    /// Begins a new session if the present one is over. To be called before a
    /// report is made.
    void check_session();

    /// Sets the agent, the session and the time of a report. The time increases
    /// with each report.
    jobs::worker_report complete(jobs::worker_report report);

    /// @return the time of the store's clock, never earlier than the true one;
    ///         zero before load() has read a report
    core::duration store_time() const
    {
        return store_clock_.time(timers_.now());
    }

    /// @return whether a report is to be stored now: one is missing or
    ///         outdated, or the report period has passed
    bool is_due() const;

    /// @return whether a report is being stored, or awaits a retry
    bool is_publishing() const { return is_publishing_; }

    /// Stores a report. Must not be called while is_publishing().
    /// @param report a report from complete()
    /// @param done receives the outcome
    void publish(jobs::worker_report const& report, callback done);

private:
    void receive_previous_report(rows::row const& stored);
    void receive_result(rows::commit_result const& result,
                        callback const& done);
    /// @return whether the conflict shows that the report is stored, since an
    ///         earlier attempt took effect without an answer
    bool resolve_conflict(rows::commit_result const& conflict);
    void retry_later(callback const& done);

    rows::row_store& store_;
    event::timer_service& timers_;
    std::string agent_;
    observer observer_;
    agent_session session_;
    std::optional<jobs::worker_report> previous_report_;
    rows::row_version version_ = rows::no_row;
    std::string sent_report_; ///< the last one sent to the store, encoded
    rows::latency_estimator store_latency_;
    core::backoff retry_delays_;
    bool is_publishing_ = false;
    /// The stored report is missing or outdated.
    bool is_outdated_ = true;
    core::time_point published_at_{};
    core::time_point sent_at_{};
    /// Late, so that reports do not seem to be older than they are.
    rows::store_clock store_clock_{rows::store_clock::side::late};
    core::duration written_at_{0}; ///< of the last report, by the store's clock
    std::unique_ptr<event::timer> load_timer_;
    std::unique_ptr<event::timer> retry_timer_;
    /// Callbacks hold it weakly, and do nothing once this object is destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sequoiaroute::agents
