#include "agents/agent_service.hpp"

#include "core/event_log.hpp"
#include "jobs/row_codec.hpp"
#include "metrics/metrics.hpp"
#include "rows/row_layout.hpp"
#include "rows/unreadable_row.hpp"

#include <algorithm>
#include <utility>

namespace sequoiaroute::agents {

namespace {

constexpr core::duration tick_period{100};
constexpr core::duration long_poll_wait{1000};
/// How long a poll may wait while fillers run beside serving tasks, whose
/// response times must then be read often.
constexpr core::duration throttling_poll_wait{300};
constexpr core::duration retry_delay{150};
constexpr core::duration min_refresh_interval{60};
/// For how long a snapshot confirms the executor's incarnation. Snapshots
/// arrive at least every second. If this process was suspended for longer, a
/// new snapshot is read before any run is started.
constexpr core::duration incarnation_confirmed_for{1500};
/// An executor that refuses connections for this long gets no new runs. It may
/// be starting, when it does not listen yet. Its runs go on until their lease
/// expires, since a broken path refuses connections as well.
constexpr core::duration refused_before_avoided{600};

/// @return the worker as one that gets no new runs, but keeps those it has
jobs::worker_description make_avoided(jobs::worker_description worker)
{
    if (worker.state != jobs::worker_state::ready)
        return worker;
    worker.state = jobs::worker_state::draining;
    worker.remaining = jobs::unlimited_remaining;
    return worker;
}

} // namespace

agent_service::agent_service(rows::row_store& store,
                             event::timer_service& timers,
                             executor_runtime& runtime,
                             notices::notice_sender& notices, options settings)
    : timers_(timers), runtime_(runtime), notices_(notices),
      options_(std::move(settings)),
      orders_(
          store, timers,
          {rows::layout::order_table_of(options_.agent),
           core::duration(2000),
           core::duration(0),
           rows::layout::order_prefix(options_.agent),
           {std::string(rows::layout::work_part)}},
          [this](rows::row const& changed) { receive_order(changed); },
          [this] { on_orders_updated(); }),
      lease_(options_.timing),
      publisher_(store, timers, options_.agent, options_.timing,
                 {[this](std::string const& session) {
                      tracker_.set_session(session);
                  },
                  [this](jobs::worker_report const& earlier) {
                      restore_ends(earlier);
                  }})
{
}

void agent_service::start()
{
    publisher_.load([this] { orders_.start(); });
}

void agent_service::receive_order(rows::row const& changed)
{
    if (changed.is_removed) {
        if (auto const run = runs_by_row_.extract(changed.key); !run.empty())
            tracker_.remove_order(run.mapped());
        return;
    }
    auto order = jobs::decode_order(changed.value);
    if (!core::is_ok(order)) {
        // An earlier, valid value of the row holds, since its run may be
        // running.
        rows::log_unreadable_row(changed, core::failure(order));
        return;
    }
    runs_by_row_.insert_or_assign(changed.key, core::value(order).run);
    tracker_.put_order(core::value(std::move(order)), !is_serving_);
}

void agent_service::on_orders_updated()
{
    if (!is_serving_) {
        is_serving_ = true;
        // What it names can be compared only with what is restored below.
        auto early = announced_.take();
        if (auto const& previous = publisher_.previous_report()) {
            if (worker_.executor.id.empty())
                update_executor(previous->worker);
            restore_ends(*previous);
        }
        infer_executor_from_orders();
        tracker_.set_executor_confirmed(false);
        if (early)
            receive_heartbeat(std::move(early->worker), early->sequence);
        lease_.assume_longest_lease(timers_.now());
        core::log_event(
            "agent_ready",
            {{"executor", worker_.executor.id},
             {"orders", static_cast<std::int64_t>(orders_.rows().size())}});
        tick_timer_ = timers_.every(tick_period, [this] {
            if (worker_.state == jobs::worker_state::gone)
                infer_executor_from_orders();
            advance_runs();
            poll_executor();
            publish_report_if_due();
        });
    }
    advance_runs();
    poll_executor();
}

void agent_service::restore_ends(jobs::worker_report const& earlier)
{
    for (auto const& ended : earlier.ended)
        tracker_.restore_end(ended);
}

/// Reads from the store may be stale, or an order may be delivered late, so
/// that the orders name a newer incarnation of the executor than the last
/// report does. That incarnation is then polled to find out what it runs, and
/// whether it still exists.
void agent_service::infer_executor_from_orders()
{
    auto const ordered = tracker_.newest_ordered_incarnation();
    if (!ordered || !ordered->replaces(worker_.executor))
        return;
    auto inferred = worker_;
    inferred.executor = *ordered;
    inferred.state = jobs::worker_state::draining;
    update_executor(std::move(inferred));
    is_worker_inferred_ = true;
}

void agent_service::receive_heartbeat(jobs::worker_description worker,
                                      std::int64_t sequence)
{
    if (is_serving_ && !needs_confirmation(worker))
        return accept_heartbeat(std::move(worker), sequence);
    // The lists could not tell an equal start from that of the current one.
    if (worker.executor != worker_.executor &&
        worker.executor.born_ms == worker_.executor.born_ms)
        return;
    // If it has replaced the current executor, it may have taken polls that
    // were sent to that one.
    if (is_serving_ && !announced_.is_pending())
        lease_.assume_longest_lease(timers_.now());
    announced_.record({std::move(worker), sequence}, timers_.now());
    refresh_snapshot();
    poll_executor();
}

/// The current executor may be running, and its runs would count as lost: the
/// heartbeat may be that of another program, or a late one of a predecessor.
/// Start times do not tell which is the later one, since the time of day may
/// have been set back between them. An earlier process of the agent may have
/// presumed that the executor is gone, so that its lists have to show whether
/// it is.
bool agent_service::needs_confirmation(
    jobs::worker_description const& announced) const
{
    if (worker_.executor.id.empty())
        return false;
    bool const may_have_left = has_left() && !has_deregistered_;
    return announced.executor != worker_.executor || may_have_left;
}

bool agent_service::has_left() const
{
    return worker_.state == jobs::worker_state::gone && !is_presumed_gone_;
}

void agent_service::accept_heartbeat(jobs::worker_description worker,
                                     std::int64_t sequence)
{
    bool const is_same = worker.executor == worker_.executor;
    bool const is_out_of_order = sequence <= sequence_ && sequence_ > 0;
    if (is_same && is_out_of_order)
        return;
    bool const is_ending = has_deregistered_ || has_left();
    if (is_same && (is_ending || is_gone_behind_broken_path()))
        return;
    sequence_ = sequence;
    if (is_same && refuses_connections())
        worker = make_avoided(std::move(worker));
    update_executor(std::move(worker));
    if (is_serving_) {
        advance_runs();
        publish_report_if_due();
    }
}

void agent_service::receive_deregistration(std::string const& executor_id,
                                           std::optional<std::int64_t> born_ms)
{
    // An executor may restart under the same id. A deregistration that arrives
    // late is then that of its predecessor.
    if (executor_id != worker_.executor.id ||
        (born_ms && *born_ms != worker_.executor.born_ms) ||
        worker_.state == jobs::worker_state::gone)
        return;
    has_deregistered_ = true;
    auto leaving = worker_;
    leaving.state = jobs::worker_state::draining;
    leaving.remaining = core::duration(0);
    update_executor(std::move(leaving));
    if (is_serving_) {
        notify_decider();
        publish_report_if_due();
    }
}

void agent_service::mark_executor_gone(std::string_view cause)
{
    core::log_event("executor_gone", {{"executor", worker_.executor.id},
                                      {"born_ms", worker_.executor.born_ms},
                                      {"cause", std::string(cause)}});
    auto gone_worker = worker_;
    gone_worker.state = jobs::worker_state::gone;
    update_executor(std::move(gone_worker));
    if (is_serving_) {
        notify_decider();
        publish_report_if_due();
    }
}

void agent_service::update_executor(jobs::worker_description worker)
{
    bool const is_new = worker.executor != worker_.executor;
    bool const has_new_state = worker.state != worker_.state;
    if (is_new) {
        ends_.set_executor(worker.executor);
        lease_.reset();
        // Polls do not name the incarnation, so those that were sent to its
        // predecessor may have reached it.
        if (!worker_.executor.id.empty())
            lease_.assume_longest_lease(timers_.now());
        has_deregistered_ = false;
        incarnation_confirmed_at_ = {};
        refused_since_.reset();
        announced_.clear();
    }
    if (is_new || has_new_state || worker.capacity != worker_.capacity) {
        publisher_.mark_outdated();
        is_state_change_unsent_ = true;
        core::log_event(is_new ? "executor_joined" : "executor_changed",
                        {{"agent", options_.agent},
                         {"data_centre", worker.data_centre},
                         {"executor", worker.executor.id},
                         {"born_ms", worker.executor.born_ms},
                         {"state", std::string(jobs::name(worker.state))},
                         {"remaining_ms", worker.remaining.count()}});
    }
    is_worker_inferred_ = false;
    is_presumed_gone_ = false;
    if (is_new || worker.state == jobs::worker_state::gone)
        tracker_.set_executor_confirmed(true);
    worker_ = std::move(worker);
    tracker_.set_executor(worker_);
}

void agent_service::receive_notice(notices::row_notice notice)
{
    decider_address_ = notice.decider_address;
    for (auto& row : notice.rows)
        orders_.apply_announced(std::move(row));
    if (is_serving_)
        advance_runs();
}

void agent_service::advance_runs()
{
    auto const now = timers_.now();
    for (auto const& run : tracker_.expire_orders(publisher_.store_time()))
        core::log_decision("order_expired", {{"run", to_text(run)}});
    for (auto const& action : tracker_.next_actions(now, start_permission(now)))
        send_order(action, now);
    notify_decider();
    if (tracker_.end_count() != published_end_count_)
        publish_report_if_due();
    refresh_snapshot();
}

/// A start grants a lease like a poll does, so it needs the same permission.
run_tracker::start_permission
agent_service::start_permission(core::time_point now) const
{
    if (now - incarnation_confirmed_at_ >= incarnation_confirmed_for)
        return run_tracker::start_permission::incarnation_unconfirmed;
    if (!lease_.is_clock_known() || !lease_.may_extend(now))
        return run_tracker::start_permission::no_lease;
    return run_tracker::start_permission::granted;
}

/// Sends a report directly to the decider if the executor's state has changed
/// or a run has ended that urgent work waits for, since the report in the store
/// arrives later.
void agent_service::notify_decider()
{
    bool const has_changes =
        tracker_.urgent_end_count() != notified_end_count_ ||
        is_state_change_unsent_;
    if (!has_changes || !may_report())
        return;
    notified_end_count_ = tracker_.urgent_end_count();
    is_state_change_unsent_ = false;
    if (decider_address_.empty())
        return;
    std::weak_ptr<bool> const alive = alive_;
    notices_.send_report(decider_address_, jobs::encode(make_report()),
                         [this, alive](bool is_decider) {
                             if (!alive.expired() && !is_decider)
                                 decider_address_.clear();
                         });
}

void agent_service::send_order(run_tracker::action const& action,
                               core::time_point sent_at)
{
    std::weak_ptr<bool> const alive = alive_;
    auto const on_reply = [this, alive, action,
                           sent_at](order_reply const& reply) {
        if (alive.expired())
            return;
        metrics::observe(metrics::duration_metric::run_order,
                         reply.outcome == order_outcome::done ? "done"
                                                              : "other",
                         timers_.now() - sent_at);
        if (reply.clock_ms && action.order.executor == worker_.executor)
            lease_.record_clock(*reply.clock_ms, timers_.now());
        core::log_decision(action.type == run_tracker::action::kind::start
                               ? "start_answered"
                               : "stop_answered",
                           {{"run", to_text(action.order.run)},
                            {"outcome", std::string(name(reply.outcome))},
                            {"reason", reply.reason}});
        tracker_.receive_answer(action, reply, timers_.now());
        advance_timer_ =
            timers_.after(core::duration(0), [this] { advance_runs(); });
    };
    if (action.type == run_tracker::action::kind::stop)
        return runtime_.stop(action.order, on_reply);
    // start_permission() has shown that the lease may be extended.
    if (auto const lease_end_ms = lease_.extend(sent_at))
        runtime_.start(action.order, *lease_end_ms, on_reply);
}

void agent_service::poll_executor()
{
    bool const is_gone = worker_.state == jobs::worker_state::gone &&
                         !is_gone_behind_broken_path() &&
                         !announced_.is_pending();
    if (is_polling_ || !is_serving_ || worker_.executor.id.empty() || is_gone ||
        timers_.now() < next_poll_at_)
        return;
    is_polling_ = true;
    auto const requested_at = timers_.now();
    std::weak_ptr<bool> const alive = alive_;
    // The lease cannot be extended before the executor's clock is known, so the
    // first poll must not wait.
    auto const wait =
        throttle_.is_active() ? throttling_poll_wait : long_poll_wait;
    send_poll(requested_at, lease_.is_clock_known() ? wait : core::duration(0),
              [this, alive, requested_at](executor_snapshot const& snapshot) {
                  if (alive.expired())
                      return;
                  is_polling_ = false;
                  if (snapshot.is_ok)
                      receive_snapshot(snapshot, requested_at);
                  else
                      receive_poll_failure(snapshot.is_connection_refused);
              });
}

/// The lease and the number of the last acknowledged end hold for the current
/// incarnation only, and another one may have been announced. Polls do not name
/// the incarnation, so that a successor would take them as its own.
void agent_service::send_poll(core::time_point now, core::duration wait,
                              std::function<void(executor_snapshot)> done)
{
    if (lease_.is_suspended() || announced_.is_pending())
        return runtime_.poll(0, std::nullopt, core::duration(0),
                             std::move(done));
    runtime_.poll(ends_.acknowledged_number(),
                  has_deregistered_ ? std::nullopt : lease_.extend(now), wait,
                  std::move(done));
}

/// Requests a snapshot without waiting, while a long poll is in progress.
void agent_service::refresh_snapshot()
{
    auto const requested_at = timers_.now();
    bool const is_needed = announced_.is_pending() || tracker_.needs_snapshot();
    if (!is_polling_ || is_refreshing_ || !is_needed ||
        requested_at < next_refresh_at_)
        return;
    is_refreshing_ = true;
    next_refresh_at_ = requested_at + min_refresh_interval;
    std::weak_ptr<bool> const alive = alive_;
    send_poll(requested_at, core::duration(0),
              [this, alive, requested_at](executor_snapshot const& snapshot) {
                  if (alive.expired())
                      return;
                  is_refreshing_ = false;
                  if (snapshot.is_ok)
                      receive_snapshot(snapshot, requested_at);
              });
}

void agent_service::receive_snapshot(executor_snapshot const& snapshot,
                                     core::time_point requested_at)
{
    refused_since_.reset();
    if (announced_.is_confirmed_by(snapshot.born_ms, requested_at)) {
        auto confirmed = *announced_.take();
        if (confirmed.worker.executor == worker_.executor)
            is_presumed_gone_ = true;
        return accept_heartbeat(std::move(confirmed.worker),
                                confirmed.sequence);
    }
    if (snapshot.born_ms != worker_.executor.born_ms) {
        // A new incarnation whose first heartbeat has not arrived yet.
        lease_.suspend();
        incarnation_confirmed_at_ = {};
        next_poll_at_ = timers_.now() + retry_delay;
        if (worker_.state != jobs::worker_state::gone &&
            lease_.has_run_out(timers_.now()))
            presume_gone("another incarnation answers");
        return;
    }
    if (announced_.is_refuted_by(requested_at))
        reject_announcement();
    tracker_.set_executor_confirmed(true);
    lease_.resume();
    incarnation_confirmed_at_ = requested_at;
    lease_.record_clock(snapshot.clock_ms, timers_.now());
    tracker_.receive_snapshot(snapshot, requested_at);
    for (auto const& end : snapshot.ended) {
        if (!ends_.record_listed(end.number))
            continue;
        core::log_decision("run_end_listed",
                           {{"run", to_text(end.task.run)},
                            {"end", std::string(jobs::name(end.task.end))},
                            {"number", end.number}});
    }
    stop_runs_without_order();
    throttle_fillers();
    advance_runs();
    publish_report_if_due();
    // The executor answers at once as long as it lists ends. They are only
    // acknowledged once the report is stored, so polling without a delay would
    // return the same ends in a busy loop.
    if (ends_.has_unacknowledged())
        next_poll_at_ = timers_.now() + core::duration(30);
    poll_timer_ = timers_.after(
        std::max(next_poll_at_ - timers_.now(), core::duration(0)),
        [this] { poll_executor(); });
}

void agent_service::reject_announcement()
{
    auto const rejected = announced_.take();
    auto const& other = rejected->worker.executor;
    core::log_event("heartbeat_rejected", {{"executor", other.id},
                                           {"born_ms", other.born_ms},
                                           {"current", worker_.executor.id}});
}

void agent_service::receive_poll_failure(bool is_connection_refused)
{
    auto const now = timers_.now();
    next_poll_at_ = now + retry_delay;
    incarnation_confirmed_at_ = {};
    if (!is_connection_refused) {
        refused_since_.reset();
    } else {
        lease_.suspend();
        refused_since_ = refused_since_.value_or(now);
    }
    if (worker_.state == jobs::worker_state::gone)
        return;
    if (has_deregistered_ && lease_.has_run_out(now))
        return mark_executor_gone("deregistered");
    if (refuses_connections())
        avoid_executor();
    if (!have_all_runs_ended())
        return;
    presume_gone("not reachable until its lease expired");
}

void agent_service::presume_gone(std::string_view cause)
{
    lease_.end();
    // The executor may return, and the decider then has taken its runs as lost.
    publisher_.begin_session("the executor counts as gone");
    mark_executor_gone(cause);
    is_presumed_gone_ = true;
}

bool agent_service::refuses_connections() const
{
    return refused_since_ &&
           timers_.now() - *refused_since_ > refused_before_avoided;
}

/// A lost path alone does not show this, since the executor may run on.
bool agent_service::have_all_runs_ended() const
{
    auto const now = timers_.now();
    return lease_.has_expired(now) ||
           (announced_.is_pending() && lease_.has_run_out(now)) ||
           (refuses_connections() && lease_.is_unused());
}

/// Heartbeats still arrive, but the executor cannot be used before a poll gets
/// through, so only polls go on.
bool agent_service::is_gone_behind_broken_path() const
{
    return is_presumed_gone_ && worker_.state == jobs::worker_state::gone &&
           refuses_connections();
}

/// Lets the decider place no more runs on the executor.
void agent_service::avoid_executor()
{
    if (worker_.state != jobs::worker_state::ready)
        return;
    update_executor(make_avoided(worker_));
    publish_report_if_due();
}

void agent_service::throttle_fillers()
{
    for (auto const& change :
         throttle_.update(tracker_.observed_runs(), timers_.now())) {
        core::log_event("run_paced", {{"run", to_text(change.run)},
                                      {"percent", change.percent}});
        std::weak_ptr<bool> const alive = alive_;
        runtime_.throttle(change.run, change.percent,
                          [this, alive, run = change.run](bool is_set) {
                              if (!alive.expired() && !is_set)
                                  throttle_.clear_applied_share(run);
                          });
    }
}

void agent_service::stop_runs_without_order()
{
    for (auto const& run : tracker_.runs_without_order()) {
        jobs::run_order order;
        order.run = run;
        order.executor = worker_.executor;
        core::log_decision("unordered_run_stopped", {{"run", to_text(run)}});
        runtime_.stop(order, [](order_reply const&) {
            // The next snapshot shows whether the run has ended.
        });
    }
}

jobs::worker_report agent_service::make_report()
{
    jobs::worker_report report;
    report.worker = worker_;
    report.running = tracker_.running();
    for (auto& task : report.running)
        task.share = throttle_.share_of(task.run);
    report.ended = tracker_.ended();
    return publisher_.complete(std::move(report));
}

bool agent_service::may_report() const
{
    return is_serving_ && !worker_.executor.id.empty() &&
           !is_worker_inferred_ && !tracker_.has_replaced_runs();
}

void agent_service::publish_report_if_due()
{
    if (publisher_.is_publishing() || !may_report())
        return;
    bool const has_new_end = tracker_.end_count() != published_end_count_;
    if (has_new_end || ends_.has_unacknowledged() || publisher_.is_due())
        publish_report();
}

void agent_service::publish_report()
{
    publisher_.check_session();
    auto const report = make_report();
    publisher_.publish(report, [this, end_count = tracker_.end_count(),
                                listed = ends_.last_listed()](
                                   std::optional<core::time_point> sent_at) {
        if (sent_at) {
            lease_.record_store_contact(*sent_at);
            published_end_count_ = end_count;
            ends_.acknowledge(listed);
        }
        publish_report_if_due();
        if (sent_at)
            poll_executor();
    });
}

} // namespace sequoiaroute::agents
