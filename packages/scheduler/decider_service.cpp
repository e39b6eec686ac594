#include "scheduler/decider_service.hpp"

#include "core/codec.hpp"
#include "core/event_log.hpp"
#include "jobs/row_codec.hpp"
#include "metrics/metrics.hpp"
#include "rows/row_layout.hpp"
#include "rows/unreadable_row.hpp"
#include "scheduler/change_log.hpp"
#include "scheduler/worker_speed_codec.hpp"

#include <algorithm>
#include <chrono>

namespace sequoiaroute::scheduler {

namespace {

constexpr core::duration tick_period{100};
constexpr core::duration renew_period{300};
/// Delay before a round, to handle changes that arrive close together in one.
constexpr core::duration round_delay{4};
/// Delay before the report feed is polled again, to receive the reports of
/// several agents in one answer of the store.
constexpr core::duration report_batch_delay{20};
constexpr core::duration commit_timeout{1000};
constexpr core::duration advice_retry_delay{200};
/// How often what was learnt of the speed of workers is stored.
constexpr core::duration speed_store_period{2000};
/// The number of entries that are asked to take over. One that succeeds is
/// enough.
constexpr std::size_t max_takeover_requests = 2;

/// @return the time of day in milliseconds since 1970
std::int64_t unix_now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

decider_service::decider_service(
    rows::row_store& store, event::timer_service& timers,
    rows::table_replica const& work,
    std::function<std::shared_ptr<jobs::rules const>()> rules,
    evacuation_source const& evacuations, peers other_processes,
    advice_service& advice, options settings)
    : store_(store), timers_(timers), work_(work), rules_(std::move(rules)),
      evacuations_(evacuations), peers_(std::move(other_processes)),
      advice_(advice), options_(std::move(settings)),
      candidate_(store, timers, work, options_.node, options_.address,
                 [this](auto const& acquired) { become_decider(acquired); }),
      // Sampled once: the time of day may jump later, the steady clock does
      // not.
      unix_offset_ms_(unix_now_ms() - timers.now().time_since_epoch().count())
{
}

decider_service::~decider_service() = default;

void decider_service::start()
{
    candidate_.start();
    tick_timer_ = timers_.every(tick_period, [this] { on_tick(); });
}

void decider_service::observe(rows::row const& changed)
{
    if (changed.key == rows::layout::lease_row())
        return observe_lease(changed);
    if (core_ == nullptr)
        return;
    apply_row(changed);
    schedule_round();
}

void decider_service::observe_lease(rows::row const& changed)
{
    candidate_.observe(changed);
    if (commit_queue_ != nullptr && core_ == nullptr)
        schedule_round();
}

void decider_service::on_tick()
{
    if (commit_queue_ != nullptr) {
        if (core_ == nullptr)
            build_core_if_loaded();
        if (!is_stopped_ &&
            timers_.now() - commit_queue_->last_commit_at() >=
                std::max(renew_period,
                         3 * commit_queue_->typical_commit_time()))
            commit_queue_->renew();
        is_round_needed_ = true;
        run_round();
        return;
    }
    candidate_.check();
}

void decider_service::request_takeover()
{
    if (commit_queue_ == nullptr)
        return;
    auto entries = peers_.entries();
    entries.resize(std::min(entries.size(), max_takeover_requests));
    core::log_event("takeover_asked",
                    {{"entries", static_cast<std::int64_t>(entries.size())}});
    for (auto const& entry : entries)
        peers_.sender.request_takeover(entry);
}

void decider_service::become_decider(
    lease_candidate::acquisition const& acquired)
{
    acquired_version_ = acquired.version;
    commit_observer& observer = *this;
    commit_queue_ = std::make_unique<commit_queue>(
        store_, timers_, acquired.lease, acquired.version, observer);
    order_loader_ = std::make_unique<order_loader>(
        store_, timers_, acquired.version, [this] { build_core_if_loaded(); });
    report_replica_ = std::make_unique<rows::table_replica>(
        store_, timers_,
        rows::table_replica::options{std::string(rows::layout::reports_table),
                                     core::duration(1000),
                                     report_batch_delay,
                                     {},
                                     // Agents rewrite their reports, and one
                                     // that does not counts as silent.
                                     {}},
        [this](rows::row const& changed) { observe_report(changed, false); },
        [this] { schedule_round(); });
    report_replica_->start();
    order_loader_->start();
}

void decider_service::resign(std::string_view reason)
{
    core::log_event("lease_lost", {{"reason", std::string(reason)}});
    core_.reset();
    jobs_without_order_.clear();
    pending_notices_ = {};
    order_loader_.reset();
    report_replica_.reset();
    commit_queue_.reset();
    round_timer_.reset();
    candidate_.rejoin();
}

void decider_service::build_core_if_loaded()
{
    // The lease row alone does not show this: a full read that began before the
    // lease was acquired may contain it and lack rows that were written
    // earlier.
    bool const has_all_earlier_writes = work_.version() >= acquired_version_;
    if (core_ != nullptr || commit_queue_ == nullptr ||
        !has_all_earlier_writes || !report_replica_->is_loaded() ||
        !order_loader_->is_loaded())
        return;
    core_ = std::make_unique<scheduler_core>(options_.limits);
    std::vector<rows::row const*> rows_by_version;
    for (auto const& [key, row] : work_.rows())
        rows_by_version.push_back(&row);
    // The oldest jobs first, to preserve their order of arrival.
    std::sort(rows_by_version.begin(), rows_by_version.end(),
              [](auto const* left, auto const* right) {
                  return left->version < right->version;
              });
    auto const now = timers_.now();
    for (auto const* row : rows_by_version) {
        if (row->key.key.starts_with(rows::layout::job_prefix))
            apply_row(*row);
    }
    for (auto const* row : rows_by_version) {
        auto const prefix = rows::layout::progress_prefix;
        if (!row->key.key.starts_with(prefix))
            continue;
        auto progress = jobs::decode_progress(row->value);
        if (core::is_ok(progress)) {
            core_->restore_progress(row->key.key.substr(prefix.size()),
                                    core::value(std::move(progress)), now);
        } else {
            rows::log_unreadable_row(*row, core::failure(progress));
        }
    }
    for (auto const* row : rows_by_version) {
        if (row->key.key.starts_with(rows::layout::cancel_prefix))
            apply_row(*row);
    }
    auto loaded_orders = order_loader_->take_orders();
    auto const order_count = static_cast<std::int64_t>(loaded_orders.size());
    for (auto& order : loaded_orders)
        core_->restore_order(std::move(order), now);
    core::log_event("decider_ready",
                    {{"jobs", static_cast<std::int64_t>(core_->jobs().size())},
                     {"orders", order_count},
                     {"workers", static_cast<std::int64_t>(
                                     report_replica_->rows().size())}});
    for (auto const& [key, row] : report_replica_->rows())
        observe_report(row, true);
    restore_speeds();
    schedule_round();
}

void decider_service::restore_speeds()
{
    speeds_stored_at_ = timers_.now();
    auto const found = work_.rows().find(rows::layout::worker_speed_row());
    if (found == work_.rows().end())
        return;
    stored_speeds_ = found->second.value;
    auto const speeds = decode_worker_speeds(stored_speeds_);
    if (core::is_ok(speeds))
        core_->restore_speeds(core::value(speeds));
    else
        rows::log_unreadable_row(found->second, core::failure(speeds));
}

void decider_service::store_speeds()
{
    if (timers_.now() - speeds_stored_at_ < speed_store_period)
        return;
    speeds_stored_at_ = timers_.now();
    auto speeds = encode(core_->notable_speeds());
    if (speeds == stored_speeds_)
        return;
    stored_speeds_ = speeds;
    commit_queue_->put(rows::layout::worker_speed_row(), std::move(speeds));
}

void decider_service::apply_row(rows::row const& changed)
{
    auto const& key = changed.key.key;
    if (changed.is_removed)
        return;
    if (key.starts_with(rows::layout::job_prefix)) {
        auto job = jobs::decode_submission(changed.value);
        if (!core::is_ok(job)) {
            rows::log_unreadable_row(changed, core::failure(job));
            return;
        }
        log_job_queued(core::value(job), changed.version);
        jobs_without_order_.emplace(core::value(job).job_id, timers_.now());
        auto const id = core::value(job).job_id;
        auto const accepted_at = acceptance_time(core::value(job));
        core_->add_submission(core::value(std::move(job)), accepted_at);
        // The cancellation may have arrived first, in a notice.
        if (work_.version_of(rows::layout::cancel_row(id)) != rows::no_row)
            core_->cancel(id);
    } else if (key.starts_with(rows::layout::cancel_prefix)) {
        core_->cancel(key.substr(rows::layout::cancel_prefix.size()));
    }
}

/// The objective of a job counts from its acceptance, also after a takeover.
core::time_point
decider_service::acceptance_time(jobs::submission const& job) const
{
    auto const now = timers_.now();
    if (job.accepted_at == core::duration(0))
        return now;
    auto const age = work_.store_time() - job.accepted_at;
    return now - std::max(age, core::duration(0));
}

void decider_service::observe_report(rows::row const& changed,
                                     bool is_initial_load)
{
    if (core_ == nullptr || changed.is_removed)
        return;
    auto report = jobs::decode_report(changed.value);
    if (!core::is_ok(report)) {
        // The last valid report holds until the agent replaces this row.
        rows::log_unreadable_row(changed, core::failure(report));
        return;
    }
    if (rows::layout::report_row(core::value(report).agent) != changed.key) {
        rows::log_unreadable_row(changed,
                                 {core::result_code::bad_request,
                                  "the report is that of another agent"});
        return;
    }
    auto last_report_at = timers_.now();
    if (is_initial_load) {
        // The worker may have become silent long before this takeover.
        auto const age =
            report_replica_->store_time() - core::value(report).written_at;
        last_report_at -= std::max(age, core::duration(0));
    }
    core_->receive_report(core::value(std::move(report)), last_report_at);
}

bool decider_service::receive_report(std::string const& encoded_report)
{
    if (core_ == nullptr)
        return false;
    auto report = jobs::decode_report(encoded_report);
    if (!core::is_ok(report)) {
        core::log_event("report_unreadable",
                        {{"fault", core::failure(report).message}});
        return true;
    }
    // A new incarnation of an executor, or session of its agent, counts only
    // once the store has it, since the next decider knows only what is stored.
    auto const worker = core_->workers().find(core::value(report).agent);
    if (worker == core_->workers().end() ||
        worker->second.report.worker.executor !=
            core::value(report).worker.executor ||
        worker->second.report.session != core::value(report).session)
        return true;
    core_->receive_report(core::value(std::move(report)), timers_.now());
    schedule_round();
    return true;
}

void decider_service::on_idle()
{
    schedule_round();
}

void decider_service::on_lease_lost()
{
    // The queue calls this, so it must not be destroyed before it returns.
    resign_timer_ = timers_.after(core::duration(0), [this] {
        resign("another process holds the lease");
    });
}

void decider_service::on_committed(rows::transaction const& written,
                                   rows::row_version version)
{
    for (auto& [address, notice] : pending_notices_.take_notices(
             written.writes, version, options_.address, peers_.entries()))
        peers_.sender.send_rows(address, notice);
}

void decider_service::store_changes(std::vector<job_change> changes)
{
    pending_notices_.add(changes);
    commit_queue_->push(retire_jobs(std::move(changes)));
}

void decider_service::schedule_round()
{
    is_round_needed_ = true;
    if (round_timer_ == nullptr) {
        round_timer_ = timers_.after(round_delay, [this] {
            round_timer_.reset();
            run_round();
        });
    }
}

void decider_service::run_round()
{
    if (commit_queue_ == nullptr)
        return;
    if (core_ == nullptr)
        build_core_if_loaded();
    if (core_ == nullptr || !commit_queue_->is_idle() || !is_round_needed_ ||
        is_stopped_)
        return;
    is_round_needed_ = false;
    if (auto rules = rules_(); rules != nullptr)
        core_->set_rules(std::move(rules));
    core_->set_start_limits(current_start_limits());
    auto const started_at = timers_.now();
    auto changes = core_->decide(current_decision_time());
    metrics::observe(metrics::duration_metric::decision,
                     changes.empty() ? "unchanged" : "changed",
                     timers_.now() - started_at);
    request_advice();
    store_speeds();
    log_waits(core_->new_waits());
    if (changes.empty())
        return;
    log_changes(changes);
    log_lost_agents(core_->lost_agents());
    record_job_waits(changes);
    store_changes(std::move(changes));
}

/// Requests tickets for the most urgent step, unless a request is under way:
/// the service handles one call at a time.
void decider_service::request_advice()
{
    if (is_advice_pending_ || core_->advice_requests().empty())
        return;
    is_advice_pending_ = true;
    auto const request = core_->advice_requests().front();
    std::weak_ptr<bool> const alive = alive_;
    auto const term_version = acquired_version_;
    advice_.request_tickets(
        request.step_name(), request.executors,
        [this, alive, term_version, request,
         requested_at = timers_.now()](auto const& tickets) {
            if (alive.expired())
                return;
            advice_timer_ =
                timers_.after(tickets ? core::duration(0) : advice_retry_delay,
                              [this] { is_advice_pending_ = false; });
            if (!tickets || core_ == nullptr ||
                term_version != acquired_version_)
                return;
            core::log_event(
                "advice_received",
                {{"job", request.job_id},
                 {"step", request.step_name()},
                 {"asked", static_cast<std::int64_t>(request.executors.size())},
                 {"granted", static_cast<std::int64_t>(tickets->size())},
                 {"after_ms", (timers_.now() - requested_at).count()}});
            core_->receive_advice(request, *tickets, timers_.now());
            schedule_round();
        });
}

void decider_service::record_job_waits(std::vector<job_change> const& changes)
{
    for (auto const& change : changes) {
        auto const found = jobs_without_order_.find(change.job_id);
        if (found == jobs_without_order_.end())
            continue;
        bool const is_ordered = std::any_of(
            change.orders.begin(), change.orders.end(), [](auto const& order) {
                return order.action == order_change::action_type::start;
            });
        if (is_ordered) {
            metrics::observe(metrics::duration_metric::job_wait, "ordered",
                             timers_.now() - found->second);
        }
        if (is_ordered || jobs::is_final(change.progress.state))
            jobs_without_order_.erase(found);
    }
}

/// Begins to remove the rows of retired jobs. The rows that entries wrote are
/// in other parts than the decider's, so a transaction of their own removes
/// them, before the job's progress: a job without progress would be taken for
/// new.
/// @return the other changes
std::vector<job_change>
decider_service::retire_jobs(std::vector<job_change> changes)
{
    std::vector<job_change> remaining;
    for (auto& change : changes) {
        if (change.is_retired)
            retire_job(std::move(change));
        else
            remaining.push_back(std::move(change));
    }
    return remaining;
}

void decider_service::retire_job(job_change change)
{
    rows::transaction removal;
    removal.removals.push_back(rows::layout::job_row(change.job_id));
    removal.removals.push_back(rows::layout::cancel_row(change.job_id));
    std::weak_ptr<bool> const alive = alive_;
    auto const term_version = acquired_version_;
    store_.commit(std::move(removal), commit_timeout,
                  [this, alive, term_version, change = std::move(change)](
                      rows::commit_result const& result) {
                      if (alive.expired() || commit_queue_ == nullptr ||
                          term_version != acquired_version_)
                          return;
                      // If this failed, the next decider retires the job.
                      if (result.outcome == rows::commit_outcome::committed)
                          commit_queue_->push(std::span(&change, 1));
                  });
}

decision_time decider_service::current_decision_time() const
{
    auto const now = timers_.now();
    return {now, now.time_since_epoch().count() + unix_offset_ms_,
            report_replica_->confirmed_at().value_or(core::time_point{})};
}

start_limits decider_service::current_start_limits()
{
    auto const known = evacuations_.evacuations();
    auto limits = limit_starts(known, options_.evacuation);
    if (limits.are_starts_held != are_starts_held_) {
        are_starts_held_ = limits.are_starts_held;
        auto const age = std::min(known.age, core::max_document_duration);
        core::log_event(are_starts_held_ ? "starts_held" : "starts_resumed",
                        {{"knowledge_age_ms", age.count()}});
    }
    return limits;
}

void decider_service::stop()
{
    is_stopped_ = true;
    candidate_.stop();
    if (commit_queue_ != nullptr)
        commit_queue_->release();
}

} // namespace sequoiaroute::scheduler
