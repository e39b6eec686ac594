#include "agents/report_publisher.hpp"

#include "core/event_log.hpp"
#include "jobs/row_codec.hpp"
#include "rows/row_layout.hpp"

#include <algorithm>
#include <utility>

namespace sequoiaroute::agents {

namespace {

/// How often an unchanged report is rewritten, as a heartbeat of the agent.
constexpr core::duration report_period{1200};
constexpr core::duration min_retry_delay{150};
constexpr core::duration max_retry_delay{600};

} // namespace

report_publisher::report_publisher(rows::row_store& store,
                                   event::timer_service& timers,
                                   std::string agent, jobs::lease_timing timing,
                                   observer notified)
    : store_(store), timers_(timers), agent_(std::move(agent)),
      observer_(std::move(notified)), session_(timing),
      retry_delays_(min_retry_delay, max_retry_delay)
{
}

void report_publisher::load(std::function<void()> on_loaded)
{
    auto const key = rows::layout::report_row(agent_);
    std::weak_ptr<bool> const alive = alive_;
    store_.read(
        rows::layout::single_row_range(key),
        [this, alive, sent_at = timers_.now(),
         on_loaded = std::move(on_loaded)](rows::page const& page) {
            if (alive.expired())
                return;
            if (!page.is_ok) {
                load_timer_ = timers_.after(
                    min_retry_delay, [this, on_loaded] { load(on_loaded); });
                return;
            }
            store_clock_.record(page.store_time, sent_at, timers_.now());
            if (!page.rows.empty())
                receive_previous_report(page.rows[0]);
            begin_session("the agent has started");
            on_loaded();
        });
}

void report_publisher::receive_previous_report(rows::row const& stored)
{
    version_ = stored.version;
    auto decoded = jobs::decode_report(stored.value);
    if (!core::is_ok(decoded))
        return;
    previous_report_ = core::value(std::move(decoded));
    written_at_ = previous_report_->written_at;
}

void report_publisher::begin_session(std::string_view reason)
{
    session_.begin(timers_.now());
    core::log_event("session_begun", {{"agent", agent_},
                                      {"session", session_.id()},
                                      {"reason", std::string(reason)}});
    is_outdated_ = true;
    observer_.on_session(session_.id());
}

void report_publisher::check_session()
{
    if (session_.is_over(timers_.now()))
        begin_session("no report was stored for too long");
}

jobs::worker_report report_publisher::complete(jobs::worker_report report)
{
    // The decider ignores reports that are older than the last one, which may
    // come from an earlier process of this agent.
    written_at_ = std::max(store_clock_.time(timers_.now()),
                           written_at_ + core::duration(1));
    report.agent = agent_;
    report.written_at = written_at_;
    report.session = session_.id();
    return report;
}

bool report_publisher::is_due() const
{
    return is_outdated_ ||
           timers_.now() - published_at_ >=
               std::max(report_period, 3 * store_latency_.typical_latency());
}

void report_publisher::publish(jobs::worker_report const& report, callback done)
{
    is_publishing_ = true;
    is_outdated_ = false;
    sent_at_ = timers_.now();
    sent_report_ = jobs::encode(report);
    auto const key = rows::layout::report_row(agent_);
    rows::transaction changes;
    changes.conditions.push_back({key, version_});
    changes.writes.push_back({key, sent_report_});
    std::weak_ptr<bool> const alive = alive_;
    store_.commit(std::move(changes), store_latency_.timeout(),
                  [this, alive,
                   done = std::move(done)](rows::commit_result const& result) {
                      if (!alive.expired())
                          receive_result(result, done);
                  });
}

bool report_publisher::resolve_conflict(rows::commit_result const& conflict)
{
    version_ = rows::no_row;
    for (auto const& row : conflict.current) {
        version_ = row.version;
        if (row.value == sent_report_)
            return true;
        auto const found = jobs::decode_report(row.value);
        if (core::is_ok(found) && core::value(found).session == session_.id())
            continue;
        begin_session("another process has written the report");
        // The first read of the report may have been stale.
        if (core::is_ok(found))
            observer_.on_earlier_report(core::value(found));
    }
    return false;
}

void report_publisher::receive_result(rows::commit_result const& result,
                                      callback const& done)
{
    is_publishing_ = false;
    store_clock_.record(result.store_time, sent_at_, timers_.now());
    store_latency_.record(result.outcome, timers_.now() - sent_at_);
    bool const is_conflict = result.outcome == rows::commit_outcome::conflict;
    if (result.outcome == rows::commit_outcome::committed) {
        version_ = result.version;
    } else if (!is_conflict || !resolve_conflict(result)) {
        is_outdated_ = true;
        return is_conflict ? done(std::nullopt) : retry_later(done);
    }
    retry_delays_.reset();
    // The report may have been stored only after the decider has taken the
    // agent as lost.
    if (session_.is_over(timers_.now()))
        begin_session("the report was stored too late");
    session_.record_contact(sent_at_);
    published_at_ = timers_.now();
    done(sent_at_);
}

/// Waits with a backoff, since the store counts rejected calls against its rate
/// limits.
void report_publisher::retry_later(callback const& done)
{
    is_publishing_ = true;
    retry_timer_ = timers_.after(retry_delays_.next(), [this, done] {
        is_publishing_ = false;
        done(std::nullopt);
    });
}

} // namespace sequoiaroute::agents
