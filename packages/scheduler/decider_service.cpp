#include "scheduler/decider_service.hpp"

#include "core/event_log.hpp"
#include "jobs/row_codec.hpp"
#include "metrics/metrics.hpp"
#include "rows/row_layout.hpp"
#include "rows/unreadable_row.hpp"
#include "scheduler/change_log.hpp"

#include <algorithm>
#include <chrono>

namespace sequoiaroute::scheduler {

namespace {

constexpr core::duration tick_period{100};
constexpr core::duration renew_period{300};
/// Three renewals missed. A takeover is safe at any time, since each write
/// depends on the lease row; waiting only avoids needless ones.
constexpr core::duration takeover_after{1100};
/// A slow store delays renewals too: so many times the duration of a call is
/// waited in addition.
constexpr int slow_store_factor = 6;
/// A copy older than this cannot tell whether the lease was renewed.
constexpr core::duration fresh_copy{1500};
/// Gathers changes that arrive close together into one round.
constexpr core::duration round_delay{4};
/// Gathers reports of several agents into one answer of the store.
constexpr core::duration report_pause{20};
constexpr core::duration lease_timeout{1000};
constexpr core::duration advice_retry{200};
/// How many entries are asked to take over; one is enough.
constexpr std::size_t entries_asked = 2;

std::int64_t wall_now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

decider_service::decider_service(
    rows::row_store& store, event::timer_service& timers,
    rows::table_replica const& work,
    std::function<std::shared_ptr<jobs::rules const>()> rules, peers others,
    advice_service& advice, options settings)
    : store_(store), timers_(timers), work_(work), rules_(std::move(rules)),
      peers_(std::move(others)), advice_(advice), options_(std::move(settings)),
      // The time of day may jump later; the steady clock does not.
      wall_offset_ms_(wall_now_ms() - timers.now().time_since_epoch().count())
{
}

decider_service::~decider_service() = default;

void decider_service::start()
{
    lease_changed_at_ = timers_.now();
    tick_timer_ = timers_.every(tick_period, [this] { tick(); });
}

void decider_service::observe(rows::row const& changed)
{
    if (changed.key == rows::layout::lease_row())
        return observe_lease(changed);
    if (core_ == nullptr)
        return;
    add_row(changed);
    decide_soon();
}

void decider_service::observe_lease(rows::row const& changed)
{
    seen_lease_ =
        changed.is_removed ? lease_record{} : decode_lease(changed.value);
    seen_version_ = changed.is_removed ? rows::no_row : changed.version;
    lease_changed_at_ = timers_.now();
    if (commits_ != nullptr && core_ == nullptr)
        decide_soon();
    if (commits_ == nullptr && is_lease_vacant())
        try_acquire();
}

void decider_service::tick()
{
    if (commits_ != nullptr) {
        if (core_ == nullptr)
            build_core_if_loaded();
        if (!is_stopped_ &&
            timers_.now() - commits_->last_written_at() >=
                std::max(renew_period, 3 * commits_->typical_time()))
            commits_->renew();
        has_news_ = true;
        decide();
        return;
    }
    if (!work_.is_loaded() || work_.age() > fresh_copy)
        return;
    if (is_lease_vacant())
        try_acquire();
    else if (timers_.now() - lease_changed_at_ > takeover_after)
        check_lease(true);
}

void decider_service::take_over()
{
    if (commits_ == nullptr && work_.is_loaded())
        check_lease(false);
}

void decider_service::request_takeover()
{
    if (commits_ == nullptr)
        return;
    auto entries = peers_.entries();
    entries.resize(std::min(entries.size(), entries_asked));
    core::log_event("takeover_asked",
                    {{"entries", static_cast<std::int64_t>(entries.size())}});
    for (auto const& entry : entries)
        peers_.sender.request_takeover(entry);
}

bool decider_service::is_lease_vacant() const
{
    // A lease under this process's own name was held by an earlier process.
    return seen_lease_.holder.empty() || seen_lease_.holder == options_.node;
}

/// Reads the lease row before a takeover: this entry's copy may be late, and
/// the time that the reading takes shows how slow the store is.
void decider_service::check_lease(bool is_wait_needed)
{
    if (is_checking_ || is_stopped_)
        return;
    is_checking_ = true;
    auto const key = rows::layout::lease_row();
    auto const asked_at = timers_.now();
    std::weak_ptr<bool> const alive = alive_;
    store_.read(
        rows::layout::only(key),
        [this, alive, asked_at, is_wait_needed](rows::page const& page) {
            if (alive.expired())
                return;
            is_checking_ = false;
            if (!page.is_ok || page.rows.empty())
                return;
            if (!is_wait_needed && page.rows[0].version > seen_version_)
                observe_lease(page.rows[0]);
            if (page.rows[0].version != seen_version_)
                return;
            auto const now = timers_.now();
            if (!is_wait_needed ||
                now - lease_changed_at_ >
                    takeover_after + slow_store_factor * (now - asked_at))
                try_acquire();
        });
}

void decider_service::try_acquire()
{
    if (is_acquiring_ || is_stopped_ || !work_.is_loaded())
        return;
    is_acquiring_ = true;
    // An attempt without an answer is repeated unchanged, so that its own
    // earlier sending is recognised.
    if (!wanted_ || wanted_over_ != seen_version_) {
        wanted_ = lease_record{options_.node, options_.address,
                               seen_lease_.term + 1, 0};
        wanted_over_ = seen_version_;
        previous_holder_ = seen_lease_.holder;
    }
    rows::transaction claim;
    claim.conditions.push_back({rows::layout::lease_row(), wanted_over_});
    claim.writes.push_back({rows::layout::lease_row(), encode(*wanted_)});
    std::weak_ptr<bool> const alive = alive_;
    store_.commit(std::move(claim), lease_timeout,
                  [this, alive](rows::commit_result const& result) {
                      if (!alive.expired())
                          receive_lease(result);
                  });
}

void decider_service::receive_lease(rows::commit_result const& result)
{
    is_acquiring_ = false;
    if (result.outcome == rows::commit_outcome::committed)
        return become_decider(result.version);
    if (result.outcome != rows::commit_outcome::conflict)
        return;
    if (!wanted_)
        return;
    if (auto const version = find_lease(result, encode(*wanted_)))
        become_decider(*version);
}

void decider_service::become_decider(rows::row_version version)
{
    core::log_event(
        "lease_acquired",
        {{"term", wanted_->term},
         {"previous", previous_holder_},
         {"unchanged_ms", (timers_.now() - lease_changed_at_).count()}});
    acquired_version_ = version;
    commit_observer& observer = *this;
    commits_ = std::make_unique<commit_queue>(store_, timers_, *wanted_,
                                              version, observer);
    wanted_.reset();
    orders_ = std::make_unique<order_loader>(
        store_, timers_, version, [this] { build_core_if_loaded(); });
    reports_ = std::make_unique<rows::table_replica>(
        store_, timers_,
        rows::table_replica::options{std::string(rows::layout::reports_table),
                                     core::duration(1000),
                                     report_pause,
                                     {}},
        [this](rows::row const& changed) { observe_report(changed, false); },
        [this] { decide_soon(); });
    reports_->start();
    orders_->start();
}

void decider_service::resign(std::string_view reason)
{
    core::log_event("lease_lost", {{"reason", std::string(reason)}});
    core_.reset();
    unordered_jobs_.clear();
    announcements_ = {};
    orders_.reset();
    reports_.reset();
    commits_.reset();
    decide_timer_.reset();
    lease_changed_at_ = timers_.now();
}

void decider_service::build_core_if_loaded()
{
    bool const has_own_lease =
        work_.version_of(rows::layout::lease_row()) >= acquired_version_;
    if (core_ != nullptr || commits_ == nullptr || !has_own_lease ||
        !reports_->is_loaded() || !orders_->is_loaded())
        return;
    core_ = std::make_unique<scheduler_core>(options_.limits);
    std::vector<rows::row const*> ordered;
    for (auto const& [key, row] : work_.rows())
        ordered.push_back(&row);
    // The oldest jobs first, so that they keep their place.
    std::sort(ordered.begin(), ordered.end(),
              [](auto const* left, auto const* right) {
                  return left->version < right->version;
              });
    auto const now = timers_.now();
    for (auto const* row : ordered) {
        if (row->key.key.starts_with(rows::layout::job_prefix))
            add_row(*row);
    }
    for (auto const* row : ordered) {
        auto const prefix = rows::layout::progress_prefix;
        if (!row->key.key.starts_with(prefix))
            continue;
        auto progress = jobs::decode_progress(row->value);
        if (core::is_ok(progress)) {
            core_->restore_progress(row->key.key.substr(prefix.size()),
                                    core::value(std::move(progress)), now);
        } else {
            rows::log_unreadable(*row, core::failure(progress));
        }
    }
    for (auto const* row : ordered) {
        if (row->key.key.starts_with(rows::layout::cancel_prefix))
            add_row(*row);
    }
    auto loaded_orders = orders_->take();
    auto const order_count = static_cast<std::int64_t>(loaded_orders.size());
    for (auto& order : loaded_orders)
        core_->restore_order(std::move(order), now);
    core::log_event(
        "decider_ready",
        {{"jobs", static_cast<std::int64_t>(core_->jobs().size())},
         {"orders", order_count},
         {"workers", static_cast<std::int64_t>(reports_->rows().size())}});
    for (auto const& [key, row] : reports_->rows())
        observe_report(row, true);
    decide_soon();
}

void decider_service::add_row(rows::row const& changed)
{
    auto const& key = changed.key.key;
    if (changed.is_removed)
        return;
    if (key.starts_with(rows::layout::job_prefix)) {
        auto job = jobs::decode_submission(changed.value);
        if (!core::is_ok(job)) {
            rows::log_unreadable(changed, core::failure(job));
            return;
        }
        log_queued(core::value(job), changed.version);
        unordered_jobs_.emplace(core::value(job).job_id, timers_.now());
        auto const id = core::value(job).job_id;
        core_->add_submission(core::value(std::move(job)), timers_.now());
        // An announced cancellation may have come before its job.
        if (work_.version_of(rows::layout::cancel_row(id)) != rows::no_row)
            core_->cancel(id);
    } else if (key.starts_with(rows::layout::cancel_prefix)) {
        core_->cancel(key.substr(rows::layout::cancel_prefix.size()));
    }
}

void decider_service::observe_report(rows::row const& changed,
                                     bool is_from_loading)
{
    if (core_ == nullptr || changed.is_removed)
        return;
    auto report = jobs::decode_report(changed.value);
    if (!core::is_ok(report)) {
        rows::log_unreadable(changed, core::failure(report));
        return;
    }
    auto heard_at = timers_.now();
    if (is_from_loading) {
        // The worker may have fallen silent long before this takeover.
        auto const age =
            reports_->store_time() - core::value(report).written_at;
        heard_at -= std::max(age, core::duration(0));
    }
    core_->receive(core::value(std::move(report)), heard_at);
}

bool decider_service::receive_report(std::string const& text)
{
    if (core_ == nullptr)
        return false;
    auto report = jobs::decode_report(text);
    if (!core::is_ok(report)) {
        core::log_event("report_unreadable",
                        {{"fault", core::failure(report).message}});
        return true;
    }
    // A new life of an executor counts once the store has it, since the next
    // decider learns of it from there.
    auto const known = core_->workers().find(core::value(report).agent);
    if (known == core_->workers().end() ||
        known->second.report.worker.executor !=
            core::value(report).worker.executor)
        return true;
    core_->receive(core::value(std::move(report)), timers_.now());
    decide_soon();
    return true;
}

void decider_service::on_idle()
{
    decide_soon();
}

void decider_service::on_lease_lost()
{
    // The queue must not be destroyed from its own callback.
    resign_timer_ = timers_.after(core::duration(0), [this] {
        resign("another process holds the lease");
    });
}

void decider_service::on_written(rows::transaction const& written,
                                 rows::row_version version)
{
    for (auto& [address, notice] : announcements_.take(
             written.writes, version, options_.address, peers_.entries()))
        peers_.sender.send_rows(address, notice);
}

void decider_service::write(std::vector<job_change> changes)
{
    announcements_.add(changes);
    commits_->push(split_retired(std::move(changes)));
}

void decider_service::decide_soon()
{
    has_news_ = true;
    if (decide_timer_ == nullptr) {
        decide_timer_ = timers_.after(round_delay, [this] {
            decide_timer_.reset();
            decide();
        });
    }
}

void decider_service::decide()
{
    if (commits_ == nullptr)
        return;
    if (core_ == nullptr)
        build_core_if_loaded();
    if (core_ == nullptr || !commits_->is_idle() || !has_news_ || is_stopped_)
        return;
    has_news_ = false;
    if (auto rules = rules_(); rules != nullptr)
        core_->set_rules(std::move(rules));
    auto const began_at = timers_.now();
    auto changes = core_->decide(current_moment());
    metrics::observe(metrics::stage::decision,
                     changes.empty() ? "unchanged" : "changed",
                     timers_.now() - began_at);
    ask_advice();
    if (changes.empty())
        return;
    log_changes(changes);
    observe_waits(changes);
    write(std::move(changes));
}

/// Asks for the most urgent step; the service answers one call at a time.
void decider_service::ask_advice()
{
    if (is_asking_advice_ || core_->advice_requests().empty())
        return;
    is_asking_advice_ = true;
    auto const request = core_->advice_requests().front();
    std::weak_ptr<bool> const alive = alive_;
    auto const term_version = acquired_version_;
    advice_.ask(
        request.step_name(), request.executors,
        [this, alive, term_version, request,
         asked_at = timers_.now()](auto const& tickets) {
            if (alive.expired())
                return;
            advice_timer_ =
                timers_.after(tickets ? core::duration(0) : advice_retry,
                              [this] { is_asking_advice_ = false; });
            if (!tickets || core_ == nullptr ||
                term_version != acquired_version_)
                return;
            core::log_event(
                "advice_received",
                {{"job", request.job_id},
                 {"step", request.step_name()},
                 {"asked", static_cast<std::int64_t>(request.executors.size())},
                 {"granted", static_cast<std::int64_t>(tickets->size())},
                 {"after_ms", (timers_.now() - asked_at).count()}});
            core_->receive_advice(request, *tickets, timers_.now());
            decide_soon();
        });
}

void decider_service::observe_waits(std::vector<job_change> const& changes)
{
    for (auto const& change : changes) {
        auto const found = unordered_jobs_.find(change.job_id);
        if (found == unordered_jobs_.end())
            continue;
        bool const is_ordered = std::any_of(
            change.orders.begin(), change.orders.end(), [](auto const& order) {
                return order.what == order_change::kind::start;
            });
        if (is_ordered) {
            metrics::observe(metrics::stage::job_wait, "ordered",
                             timers_.now() - found->second);
        }
        if (is_ordered || jobs::is_final(change.progress.state))
            unordered_jobs_.erase(found);
    }
}

/// The rows that entries write are in other parts than the decider's, and have
/// to go first: a job without progress would be taken for a new one.
std::vector<job_change>
decider_service::split_retired(std::vector<job_change> changes)
{
    std::vector<job_change> kept;
    for (auto& change : changes) {
        if (change.is_retired)
            retire(std::move(change));
        else
            kept.push_back(std::move(change));
    }
    return kept;
}

void decider_service::retire(job_change change)
{
    rows::transaction removal;
    removal.removals.push_back(rows::layout::job_row(change.job_id));
    removal.removals.push_back(rows::layout::cancel_row(change.job_id));
    std::weak_ptr<bool> const alive = alive_;
    auto const term_version = acquired_version_;
    store_.commit(std::move(removal), lease_timeout,
                  [this, alive, term_version, change = std::move(change)](
                      rows::commit_result const& result) {
                      if (alive.expired() || commits_ == nullptr ||
                          term_version != acquired_version_)
                          return;
                      // Otherwise the next decider retires the job.
                      if (result.outcome == rows::commit_outcome::committed)
                          commits_->push(std::span(&change, 1));
                  });
}

moment decider_service::current_moment() const
{
    auto const now = timers_.now();
    return {now, now.time_since_epoch().count() + wall_offset_ms_,
            reports_->confirmed_at().value_or(core::time_point{})};
}

void decider_service::stop()
{
    is_stopped_ = true;
    if (commits_ != nullptr)
        commits_->release();
}

} // namespace sequoiaroute::scheduler
