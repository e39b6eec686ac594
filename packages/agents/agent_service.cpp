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
/// How often an unchanged report is written, to show that the agent is there.
constexpr core::duration report_period{1200};
constexpr core::duration hold_wait{1000};
/// Response times are read this often while fillers run beside serving tasks.
constexpr core::duration paced_hold_wait{300};
constexpr core::duration retry_delay{150};
constexpr core::duration longest_publish_delay{600};
constexpr core::duration look_period{60};
/// How long the executor's lists show that the same life is there. They arrive
/// every second at least; after a freeze of this process they are read first.
constexpr core::duration life_seen_for{1500};
/// Connections refused on this machine for so long: the executor has ended.
/// Several refusals are waited for, since one that starts does not listen yet.
constexpr core::duration gone_after{600};
/// An executor that said that it leaves is not starting.
constexpr core::duration leaving_gone_after{200};

} // namespace

agent_service::agent_service(rows::row_store& store,
                             event::timer_service& timers,
                             executor_runtime& runtime,
                             notices::notice_sender& notices, options settings)
    : store_(store), timers_(timers), runtime_(runtime), notices_(notices),
      options_(std::move(settings)),
      orders_(
          store, timers,
          {rows::layout::order_table_of(options_.agent), core::duration(2000),
           core::duration(0), rows::layout::order_prefix(options_.agent)},
          [this](rows::row const& changed) { receive_order(changed); },
          [this] { serve(); }),
      publish_delays_(retry_delay, longest_publish_delay)
{
}

void agent_service::start()
{
    load_report();
}

void agent_service::load_report()
{
    auto const key = rows::layout::report_row(options_.agent);
    std::weak_ptr<bool> const alive = alive_;
    store_.read(rows::layout::only(key), [this, alive](rows::page const& page) {
        if (alive.expired())
            return;
        if (!page.is_ok) {
            load_timer_ = timers_.after(retry_delay, [this] { load_report(); });
            return;
        }
        note_store_time(page.store_time);
        if (!page.rows.empty()) {
            report_version_ = page.rows[0].version;
            current_report_ = page.rows[0].value;
        }
        orders_.start();
    });
}

void agent_service::receive_order(rows::row const& changed)
{
    auto const& text = changed.is_removed ? orders_.rows().at(changed.key).value
                                          : changed.value;
    auto order = jobs::decode_order(text);
    if (!core::is_ok(order)) {
        rows::log_unreadable(changed, core::failure(order));
        return;
    }
    if (changed.is_removed)
        book_.remove(core::value(order).run);
    else
        book_.put(core::value(std::move(order)), !is_serving_);
}

void agent_service::serve()
{
    if (!is_serving_) {
        is_serving_ = true;
        auto const known = jobs::decode_report(current_report_);
        if (core::is_ok(known)) {
            auto const& report = core::value(known);
            earlier_report_at_ = report.written_at;
            if (worker_.executor.id.empty())
                update_executor(report.worker);
            for (auto const& ended : report.ended)
                book_.restore_end(ended);
        }
        assume_executor_of_orders();
        core::log_event(
            "agent_ready",
            {{"executor", worker_.executor.id},
             {"orders", static_cast<std::int64_t>(orders_.rows().size())}});
        tick_timer_ = timers_.every(tick_period, [this] {
            act();
            poll();
            publish_if_due();
        });
    }
    act();
    poll();
}

/// The last report may be older than the orders, if the store's readings were
/// old. The executor's lists then tell what runs, and whether it is there.
void agent_service::assume_executor_of_orders()
{
    auto const ordered = book_.newest_executor();
    if (!ordered || !ordered->replaces(worker_.executor))
        return;
    auto assumed = worker_;
    assumed.executor = *ordered;
    assumed.state = jobs::worker_state::draining;
    update_executor(std::move(assumed));
    is_worker_assumed_ = true;
}

void agent_service::receive_heartbeat(jobs::worker_description worker,
                                      std::int64_t sequence)
{
    bool const is_same = worker.executor == worker_.executor;
    // A delayed message of an earlier life, or of an earlier moment.
    if (worker.executor.born_ms < worker_.executor.born_ms ||
        (is_same && sequence <= sequence_ && sequence_ > 0))
        return;
    if (is_same && worker_.state == jobs::worker_state::gone)
        return;
    sequence_ = sequence;
    update_executor(std::move(worker));
    if (is_serving_) {
        act();
        publish_if_due();
    }
}

void agent_service::mark_executor_gone(std::string const& executor_id)
{
    if (executor_id != worker_.executor.id)
        return;
    auto ended = worker_;
    ended.state = jobs::worker_state::gone;
    update_executor(std::move(ended));
    if (is_serving_) {
        tell_decider();
        publish_if_due();
    }
}

void agent_service::update_executor(jobs::worker_description worker)
{
    bool const is_new = worker.executor != worker_.executor;
    bool const has_new_state = worker.state != worker_.state;
    if (is_new) {
        acknowledged_ = 0;
        highest_listed_ = 0;
        clock_read_at_ = {};
        life_seen_at_ = {};
        refused_since_.reset();
    }
    if (is_new || has_new_state || worker.capacity != worker_.capacity) {
        is_report_urgent_ = true;
        is_state_untold_ = true;
        core::log_event(is_new ? "executor_joined" : "executor_changed",
                        {{"executor", worker.executor.id},
                         {"born_ms", worker.executor.born_ms},
                         {"state", std::string(jobs::name(worker.state))},
                         {"remaining_ms", worker.remaining.count()}});
    }
    is_worker_assumed_ = false;
    worker_ = std::move(worker);
    book_.set_executor(worker_);
}

void agent_service::receive_notice(notices::row_notice notice)
{
    decider_address_ = notice.decider_address;
    for (auto& row : notice.rows)
        orders_.offer(std::move(row));
    if (is_serving_)
        act();
}

void agent_service::act()
{
    auto const now = timers_.now();
    bool const is_life_seen = now - life_seen_at_ < life_seen_for;
    for (auto const& action : book_.next_actions(now, is_life_seen))
        send(action);
    tell_decider();
    if (book_.end_count() != published_ends_)
        publish_if_due();
    look();
}

/// Tells the decider of ends for which urgent work waits, and of a changed
/// state of the executor, without waiting for the store.
void agent_service::tell_decider()
{
    bool const has_news =
        book_.awaited_end_count() != told_ends_ || is_state_untold_;
    if (!has_news || !is_serving_ || worker_.executor.id.empty() ||
        is_worker_assumed_)
        return;
    told_ends_ = book_.awaited_end_count();
    is_state_untold_ = false;
    if (decider_address_.empty())
        return;
    std::weak_ptr<bool> const alive = alive_;
    notices_.send_report(decider_address_, jobs::encode(make_report()),
                         [this, alive](bool is_decider) {
                             if (!alive.expired() && !is_decider)
                                 decider_address_.clear();
                         });
}

void agent_service::send(run_tracker::action const& action)
{
    std::weak_ptr<bool> const alive = alive_;
    auto const sent_at = timers_.now();
    auto const receive = [this, alive, action,
                          sent_at](order_reply const& reply) {
        if (alive.expired())
            return;
        metrics::observe(metrics::stage::run_order,
                         reply.outcome == order_outcome::done ? "done"
                                                              : "other",
                         timers_.now() - sent_at);
        if (reply.clock_ms)
            note_clock(*reply.clock_ms);
        core::log_event(action.what == run_tracker::action::kind::start
                            ? "start_answered"
                            : "stop_answered",
                        {{"run", to_text(action.order.run)},
                         {"outcome", std::string(name(reply.outcome))},
                         {"reason", reply.reason}});
        book_.receive_answer(action, reply, timers_.now());
        act_timer_ = timers_.after(core::duration(0), [this] { act(); });
    };
    if (action.what == run_tracker::action::kind::start)
        runtime_.start(action.order, lease_end_ms(), receive);
    else
        runtime_.stop(action.order, receive);
}

void agent_service::note_clock(std::int64_t clock_ms)
{
    clock_ms_ = clock_ms;
    clock_read_at_ = timers_.now();
}

void agent_service::note_store_time(core::duration store_time)
{
    if (store_time == core::duration(0))
        return;
    store_time_ = store_time;
    store_time_read_at_ = timers_.now();
}

std::int64_t agent_service::lease_end_ms() const
{
    auto const passed = timers_.now() - clock_read_at_;
    return clock_ms_ + passed.count() + options_.timing.lease().count();
}

bool agent_service::may_extend_lease() const
{
    return store_contact_at_ &&
           timers_.now() - *store_contact_at_ < options_.timing.without_store();
}

void agent_service::poll()
{
    if (is_holding_ || !is_serving_ || worker_.executor.id.empty() ||
        worker_.state == jobs::worker_state::gone ||
        timers_.now() < hold_allowed_at_)
        return;
    is_holding_ = true;
    auto const asked_at = timers_.now();
    bool const has_clock = clock_read_at_ != core::time_point{};
    std::weak_ptr<bool> const alive = alive_;
    // The first call of all learns the clock and must not wait.
    auto const wait = pace_.is_needed() ? paced_hold_wait : hold_wait;
    runtime_.poll(acknowledged_, extend_lease(),
                  has_clock ? wait : core::duration(0),
                  [this, alive, asked_at](executor_snapshot const& lists) {
                      if (alive.expired())
                          return;
                      is_holding_ = false;
                      if (lists.is_ok)
                          receive_lists(lists, asked_at);
                      else
                          receive_silence(lists.is_refused);
                  });
}

std::optional<std::int64_t> agent_service::extend_lease()
{
    if (clock_read_at_ == core::time_point{} || !may_extend_lease())
        return std::nullopt;
    last_extended_at_ = timers_.now();
    return lease_end_ms();
}

/// Reads the lists at once, beside a call that waits for an end.
void agent_service::look()
{
    auto const asked_at = timers_.now();
    if (!is_holding_ || is_looking_ || !book_.needs_lists() ||
        asked_at < look_allowed_at_)
        return;
    is_looking_ = true;
    look_allowed_at_ = asked_at + look_period;
    std::weak_ptr<bool> const alive = alive_;
    runtime_.poll(acknowledged_, extend_lease(), core::duration(0),
                  [this, alive, asked_at](executor_snapshot const& lists) {
                      if (alive.expired())
                          return;
                      is_looking_ = false;
                      if (lists.is_ok)
                          receive_lists(lists, asked_at);
                  });
}

void agent_service::receive_lists(executor_snapshot const& lists,
                                  core::time_point asked_at)
{
    refused_since_.reset();
    note_clock(lists.clock_ms);
    if (lists.born_ms != worker_.executor.born_ms) {
        // A new life that has not announced itself yet.
        life_seen_at_ = {};
        hold_allowed_at_ = timers_.now() + retry_delay;
        return;
    }
    life_seen_at_ = asked_at;
    book_.receive(lists, asked_at);
    for (auto const& end : lists.ended) {
        if (end.number <= highest_listed_)
            continue;
        highest_listed_ = end.number;
        core::log_event("run_end_listed",
                        {{"run", to_text(end.task.run)},
                         {"end", std::string(jobs::name(end.task.end))},
                         {"number", end.number}});
    }
    stop_unordered();
    pace_fillers();
    act();
    publish_if_due();
    // Ends stay listed until the report is stored; asking again at once would
    // only show them again.
    if (highest_listed_ > acknowledged_)
        hold_allowed_at_ = timers_.now() + core::duration(30);
    hold_timer_ = timers_.after(
        std::max(hold_allowed_at_ - timers_.now(), core::duration(0)),
        [this] { poll(); });
}

void agent_service::receive_silence(bool is_refused)
{
    hold_allowed_at_ = timers_.now() + retry_delay;
    life_seen_at_ = {};
    auto const now = timers_.now();
    if (!is_refused) {
        refused_since_.reset();
    } else if (!refused_since_) {
        refused_since_ = now;
    }
    auto const patience = worker_.state == jobs::worker_state::draining
                              ? leaving_gone_after
                              : gone_after;
    bool const has_ended =
        (refused_since_ && now - *refused_since_ > patience) ||
        (last_extended_at_ != core::time_point{} &&
         now - last_extended_at_ > options_.timing.lapse() && !is_refused &&
         !may_extend_lease());
    if (has_ended)
        mark_executor_gone(worker_.executor.id);
}

void agent_service::pace_fillers()
{
    for (auto const& change :
         pace_.update(book_.pace_subjects(), timers_.now())) {
        core::log_event("run_paced", {{"run", to_text(change.run)},
                                      {"percent", change.percent}});
        std::weak_ptr<bool> const alive = alive_;
        runtime_.throttle(change.run, change.percent,
                          [this, alive, run = change.run](bool is_set) {
                              if (!alive.expired() && !is_set)
                                  pace_.forget(run);
                          });
    }
}

void agent_service::stop_unordered()
{
    for (auto const& run : book_.unordered()) {
        jobs::run_order order;
        order.run = run;
        order.executor = worker_.executor;
        core::log_event("unordered_run_stopped", {{"run", to_text(run)}});
        runtime_.stop(order, [](order_reply const&) {
            // The next lists show whether it has ended.
        });
    }
}

jobs::worker_report agent_service::make_report() const
{
    auto const store_time = store_time_ + (timers_.now() - store_time_read_at_);
    // The decider leaves out reports that are older than the last one.
    auto const written_at =
        std::max(store_time, earlier_report_at_ + core::duration(1));
    auto running = book_.running();
    for (auto& task : running)
        task.share = pace_.share_of(task.run);
    return {options_.agent, written_at, worker_, std::move(running),
            book_.ended()};
}

void agent_service::publish_if_due()
{
    if (is_publishing_ || worker_.executor.id.empty() || !is_serving_ ||
        is_worker_assumed_)
        return;
    bool const has_new_end = book_.end_count() != published_ends_;
    bool const has_new_list = highest_listed_ > acknowledged_;
    if (has_new_end || has_new_list || is_report_urgent_ ||
        timers_.now() - published_at_ >=
            std::max(report_period, 3 * answer_time_.typical()))
        publish();
}

void agent_service::publish()
{
    is_publishing_ = true;
    is_report_urgent_ = false;
    publishing_ends_ = book_.end_count();
    publish_started_at_ = timers_.now();
    current_report_ = jobs::encode(make_report());
    auto const key = rows::layout::report_row(options_.agent);
    rows::transaction changes;
    changes.conditions.push_back({key, report_version_});
    changes.writes.push_back({key, current_report_});
    auto const acknowledged = highest_listed_;
    std::weak_ptr<bool> const alive = alive_;
    store_.commit(
        std::move(changes), answer_time_.timeout(),
        [this, alive, acknowledged](rows::commit_result const& result) {
            if (!alive.expired())
                receive_published(result, acknowledged);
        });
}

void agent_service::receive_published(rows::commit_result const& result,
                                      std::int64_t acknowledged)
{
    is_publishing_ = false;
    note_store_time(result.store_time);
    auto const started_at = publish_started_at_;
    answer_time_.record(result.outcome, timers_.now() - started_at);
    bool is_written = result.outcome == rows::commit_outcome::committed;
    if (is_written)
        report_version_ = result.version;
    if (result.outcome == rows::commit_outcome::conflict) {
        report_version_ = rows::no_row;
        for (auto const& row : result.current) {
            report_version_ = row.version;
            // An earlier sending took effect although its answer was lost.
            is_written = row.value == current_report_;
        }
    }
    if (!is_written) {
        is_report_urgent_ = true;
        if (result.outcome != rows::commit_outcome::conflict) {
            // Paced, since refused calls count against the store's rates.
            is_publishing_ = true;
            publish_timer_ = timers_.after(publish_delays_.next(), [this] {
                is_publishing_ = false;
                publish_if_due();
            });
        } else {
            publish_if_due();
        }
        return;
    }
    publish_delays_.reset();
    store_contact_at_ = started_at;
    published_at_ = timers_.now();
    published_ends_ = publishing_ends_;
    acknowledged_ = std::max(acknowledged_, acknowledged);
    publish_if_due();
    poll();
}

} // namespace sequoiaroute::agents
