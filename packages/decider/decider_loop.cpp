#include "decider/decider_loop.hpp"

#include "core/log.hpp"
#include "decider/attempt_progress.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::decider {

namespace {

using policy::job_state;

bool is_final_and_committed(job_data const& data)
{
    return policy::is_final(data.record.state) && !data.pending_write;
}

/// Whether a member of a running job has yet to start, or must be acted on
/// because it ended or its agent restarted.
bool has_member_to_handle(job_data const& data)
{
    return std::any_of(data.members.begin(), data.members.end(),
                       [](auto const& member) {
                           return !member.is_started || member.has_ended ||
                                  member.is_restarted;
                       });
}

/// Whether a job needs a step other than placement in this round.
bool needs_advance(job_data const& data)
{
    if (data.pending_write || data.is_row_stale || data.rejection_reason ||
        data.eviction_reason || data.record.is_cancel_requested)
        return true;
    auto const state = data.record.state;
    return state == job_state::reserving || state == job_state::stopping ||
           policy::is_final(state) ||
           (state == job_state::running && has_member_to_handle(data));
}

std::string eviction_text(policy::eviction const& eviction)
{
    bool const is_reclaim =
        eviction.reason == policy::eviction_reason::guarantee_reclaimed;
    return fmt::format("its resources are needed for job {} ({})",
                       eviction.preemptor_job_id,
                       is_reclaim ? "a guarantee is reclaimed"
                                  : "accelerators are made adjacent");
}

bool is_active(job_state state)
{
    return state == job_state::reserving || state == job_state::running ||
           state == job_state::stopping;
}

/// @return ok if the agent may discard its report, because the content is in
///         the table, needs no write, or is about an outdated attempt; else
///         the code that makes the agent send it again
core::result_code acknowledgement_for(job_data const& data,
                                      peers::member_report const& report)
{
    auto const& record = data.record;
    if (report.attempt < record.attempt)
        return core::result_code::ok;
    if (report.attempt > record.attempt)
        return core::result_code::not_ready;
    bool const is_recorded_failure =
        report.state == peers::member_state::failed &&
        record.state == job_state::stopping;
    bool const is_acknowledged = !is_active(record.state) ||
                                 is_recorded_failure ||
                                 report.state < peers::member_state::finished;
    return is_acknowledged ? core::result_code::ok
                           : core::result_code::still_running;
}

} // namespace

decider_loop::decider_loop(platform::recovering_writer& rows,
                           decider_lease& lease,
                           decider_dependencies const& dependencies)
    : lease_(lease), dependencies_(dependencies), store_(rows, lease),
      fleet_(dependencies.clock),
      recorder_(fleet_, dependencies.directory, dependencies.placement,
                dependencies.clock, dependencies.counters),
      command_sender_(dependencies.links, dependencies.directory),
      coordinator_(store_, dependencies.objects, command_sender_,
                   dependencies.directory, lease, dependencies.clock,
                   recorder_),
      registry_(dependencies.clock)
{
}

bool decider_loop::is_round_due()
{
    auto const now = dependencies_.clock.now();
    if (!is_round_requested_.exchange(false) &&
        now - last_round_ < round_period)
        return false;
    last_round_ = now;
    return true;
}

void decider_loop::tick()
{
    if (!is_round_due() || !sync_with_lease())
        return;
    auto const now = dependencies_.clock.now();
    if (is_scan_requested_.exchange(false) || now - last_scan_ >= scan_period)
        scan(false, recovered_term_);
    maintain_jobs();
    place_jobs();
}

bool decider_loop::sync_with_lease()
{
    auto const state = lease_.state();
    if (state == lease_state::follower) {
        if (recovered_term_.exchange(0) != 0)
            registry_.clear();
        return false;
    }
    if (state == lease_state::suspended) {
        maintain_jobs();
        return false;
    }
    if (recovered_term_ == lease_.term())
        return true;
    registry_.clear();
    fleet_.clear();
    first_rejected_at_.clear();
    auto const term = lease_.term();
    if (!scan(true, term))
        return false;
    recovered_term_ = term;
    return true;
}

bool decider_loop::scan(bool is_recovery, std::uint64_t term)
{
    auto open = store_.scan_open_jobs();
    if (!core::is_ok(open)) {
        core::log(core::log_level::warning,
                  "cannot read the open jobs from the table",
                  {{"error", core::failure(open).message}});
        is_scan_requested_ = true;
        return false;
    }
    last_scan_ = dependencies_.clock.now();
    for (auto& job : core::value(open))
        registry_.merge(std::move(job), is_recovery, term);
    return true;
}

void decider_loop::maintain_jobs()
{
    auto const now = dependencies_.clock.now();
    bool const is_loss_check = now - last_loss_check_ >= loss_check_period;
    if (is_loss_check)
        last_loss_check_ = now;
    for (auto const& job : registry_.jobs()) {
        auto const data = job->snapshot();
        bool const is_checked =
            is_loss_check && data.record.state == job_state::running;
        if (is_checked || needs_advance(data))
            post(dependencies_.maintenance_runner, job);
    }
}

void decider_loop::post(task_runner& runner,
                        job_registry::job_pointer const& job)
{
    if (!job->mark_posted())
        return;
    runner.post([this, job] {
        std::lock_guard const lock(job->operation_mutex());
        job->clear_posted();
        advance(job);
    });
}

void decider_loop::advance(job_registry::job_pointer const& job)
{
    auto const before = job->snapshot().record;
    coordinator_.advance(*job);
    auto const after = job->snapshot();
    if (after.record.state != before.state)
        wake();
    if (is_final_and_committed(after))
        registry_.remove(after.record.job_id);
}

void decider_loop::place_jobs()
{
    std::vector<job_data> jobs;
    for (auto const& job : registry_.jobs())
        jobs.push_back(job->snapshot());
    auto const targets =
        dependencies_.directory.targets(peers::target_kind::worker);
    auto const snapshot = fleet_.build_snapshot(targets, jobs);
    auto const rules = dependencies_.rules.rules();
    auto const decision = recorder_.decide(
        {snapshot.workers, snapshot.pending, snapshot.running, *rules});
    apply(snapshot, decision);
}

void decider_loop::apply(fleet_snapshot const& snapshot,
                         policy::decision const& decision)
{
    std::map<std::string, std::string, std::less<>> notes;
    for (auto const& note : decision.notes)
        notes[note.job_id] = note.text;
    apply(decision.rejections, notes);
    {
        std::lock_guard const lock(notes_mutex_);
        notes_ = std::move(notes);
    }
    for (auto const& eviction : decision.evictions)
        apply(eviction);
    for (auto const& placement : decision.placements)
        apply(snapshot, placement);
}

void decider_loop::apply(fleet_snapshot const& snapshot,
                         policy::placement const& placement)
{
    auto const job = registry_.find(placement.job_id);
    if (job == nullptr)
        return;
    std::vector<policy::placed_member> planned;
    for (auto const index : placement.members) {
        if (index >= snapshot.workers.size() ||
            !snapshot.workers[index].accepts_work)
            return;
        planned.push_back(snapshot.agents[index]);
    }
    bool const is_planned = job->with([&](job_data& data) {
        bool const is_free = data.record.state == job_state::queued &&
                             data.planned.empty() && !data.pending_write;
        if (!is_free ||
            planned.size() != static_cast<std::size_t>(data.record.members))
            return false;
        data.planned = planned;
        data.is_planned_borrowing = placement.is_borrowing;
        return true;
    });
    if (is_planned)
        post(dependencies_.placement_runner, job);
}

core::duration decider_loop::eviction_grace_for(std::string_view owner_id)
{
    // A guarantee must be reclaimed within 10 s, even if the agent of an
    // evicted job stops answering. The allowance leaves time for the final stop
    // without grace and for the reservation.
    constexpr core::duration reclaim_limit = std::chrono::seconds(10);
    constexpr core::duration placement_allowance{2500};
    auto const owner = registry_.find(owner_id);
    if (owner == nullptr)
        return eviction_grace_limit;
    auto const now = dependencies_.clock.now();
    auto const started_at = owner->with([now](job_data& data) {
        if (!data.reclaim_started_at)
            data.reclaim_started_at = now;
        return *data.reclaim_started_at;
    });
    return std::clamp(reclaim_limit - placement_allowance - (now - started_at),
                      core::duration(0), eviction_grace_limit);
}

void decider_loop::apply(policy::eviction const& eviction)
{
    auto const grace = eviction_grace_for(eviction.preemptor_job_id);
    auto const job = registry_.find(eviction.job_id);
    if (job == nullptr)
        return;
    bool const is_accepted = job->with([&](job_data& data) {
        // An unrepeatable job could not be queued again after the stop.
        if (data.record.state != job_state::running ||
            data.record.is_unrepeatable || data.eviction_reason)
            return false;
        data.eviction_reason = eviction_text(eviction);
        data.eviction_grace = grace;
        return true;
    });
    if (is_accepted)
        post(dependencies_.maintenance_runner, job);
}

void decider_loop::apply(std::vector<policy::rejection> const& rejections,
                         std::map<std::string, std::string, std::less<>>& notes)
{
    auto const now = dependencies_.clock.now();
    std::map<std::string, core::time_point> still_rejected;
    for (auto const& rejection : rejections) {
        auto const& job_id = rejection.job_id;
        auto const known = first_rejected_at_.find(job_id);
        auto const first =
            known == first_rejected_at_.end() ? now : known->second;
        still_rejected[job_id] = first;
        notes[job_id] = "waiting, but it cannot run now: " + rejection.reason;
        auto const job = registry_.find(job_id);
        if (job == nullptr || now - first < rejection_delay)
            continue;
        job->with(
            [&](job_data& data) { data.rejection_reason = rejection.reason; });
        post(dependencies_.maintenance_runner, job);
    }
    first_rejected_at_ = std::move(still_rejected);
}

core::result_code
decider_loop::handle_report(peers::member_report const& report)
{
    auto const job = registry_.find(report.job_id);
    if (job == nullptr)
        return handle_untracked_job_report(report);
    job->with([&](job_data& data) { decider::apply_report(data, report); });
    std::unique_lock const lock(job->operation_mutex(), std::try_to_lock);
    // If another thread is calling an agent for this job, the report is sent
    // again later; waiting would block a thread of the message server.
    if (lock.owns_lock())
        advance(job);
    else
        wake();
    auto const answer = acknowledgement_for(job->snapshot(), report);
    if (answer == core::result_code::ok &&
        report.attempt < job->snapshot().record.attempt)
        ++dependencies_.counters.counter("decider.reports_of_older_attempts");
    return answer;
}

core::result_code
decider_loop::handle_untracked_job_report(peers::member_report const& report)
{
    if (lease_.state() != lease_state::holding || recovered_term_ == 0)
        return core::result_code::not_ready;
    auto read = store_.read(report.job_id);
    if (core::code_of(read) == core::result_code::unknown_job)
        return core::result_code::ok;
    if (!core::is_ok(read))
        return core::result_code::store_unavailable;
    auto const& record = core::value(read).record;
    if (policy::is_final(record.state) || record.attempt > report.attempt)
        return core::result_code::ok;
    registry_.merge(std::move(core::value(read)), true, recovered_term_);
    wake();
    return core::result_code::still_running;
}

core::status decider_loop::handle_change(std::string_view job_id)
{
    if (lease_.state() == lease_state::follower)
        return core::error{core::result_code::not_ready,
                           "this entry is not the decider"};
    if (job_id.empty()) {
        is_scan_requested_ = true;
        for (auto const& job : registry_.jobs())
            job->with([](job_data& data) {
                if (data.record.state == job_state::queued)
                    data.is_row_stale = true;
            });
        wake();
        return core::success();
    }
    if (auto const job = registry_.find(job_id)) {
        job->with([](job_data& data) { data.is_row_stale = true; });
        wake();
        return core::success();
    }
    SEQUOIA_TRY_INTO(auto read, store_.read(job_id));
    if (!policy::is_final(read.record.state) && recovered_term_ != 0)
        registry_.merge(std::move(read), false, recovered_term_);
    wake();
    return core::success();
}

std::string decider_loop::note(std::string_view job_id) const
{
    std::lock_guard const lock(notes_mutex_);
    auto const found = notes_.find(job_id);
    return found == notes_.end() ? std::string{} : found->second;
}

core::json decider_loop::dump() const
{
    auto jobs = core::json::array();
    for (auto const& job : registry_.jobs()) {
        auto const data = job->snapshot();
        auto workers = core::json::array();
        for (auto const& placed : data.record.placed)
            workers.push_back(placed.worker_id);
        jobs.push_back({{"job_id", data.record.job_id},
                        {"customer", data.record.customer},
                        {"state", data.record.state},
                        {"attempt", data.record.attempt},
                        {"workers", workers},
                        {"has_unknown_write", data.pending_write.has_value()},
                        {"note", note(data.record.job_id)}});
    }
    return {{"jobs", jobs}, {"quarantined", fleet_.quarantined()}};
}

} // namespace sequoiaroute::decider
