#include "decider/decider_process.hpp"

#include "core/log.hpp"
#include "decider/attempt_progress.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::decider {

namespace {

using policy::job_state;

bool is_final_and_settled(job_data const& data)
{
    return policy::is_final(data.record.state) && !data.pending;
}

bool has_running_work(job_data const& data)
{
    return std::any_of(data.members.begin(), data.members.end(),
                       [](auto const& member) {
                           return !member.is_started || member.has_ended ||
                                  member.is_restarted;
                       });
}

/// Whether a job needs attention in every round.
bool is_due(job_data const& data)
{
    if (data.pending || data.is_row_stale || data.rejection || data.eviction ||
        data.record.is_cancel_requested)
        return true;
    auto const state = data.record.state;
    return state == job_state::reserving || state == job_state::stopping ||
           policy::is_final(state) ||
           (state == job_state::running && has_running_work(data));
}

std::string eviction_text(policy::eviction const& eviction)
{
    bool const is_reclaim =
        eviction.reason == policy::eviction_reason::guarantee_reclaimed;
    return fmt::format("its room is needed for job {} ({})",
                       eviction.preemptor_job_id,
                       is_reclaim ? "a guarantee is reclaimed"
                                  : "accelerators are made adjacent");
}

bool is_active(job_state state)
{
    return state == job_state::reserving || state == job_state::running ||
           state == job_state::stopping;
}

/// Whether the agent may forget a report: what it tells is in the table, or it
/// is about an attempt that does not count any more.
core::result_code answer_to(job_data const& data,
                            peers::member_report const& report)
{
    auto const& record = data.record;
    if (report.attempt < record.attempt)
        return core::result_code::ok;
    if (report.attempt > record.attempt)
        return core::result_code::not_ready;
    bool const is_written_failure =
        report.state == peers::member_state::failed &&
        record.state == job_state::stopping;
    bool const is_settled = !is_active(record.state) || is_written_failure ||
                            report.state < peers::member_state::finished;
    return is_settled ? core::result_code::ok
                      : core::result_code::still_running;
}

} // namespace

decider_process::decider_process(platform::recovering_writer& rows,
                                 decider_lease& lease,
                                 decider_environment const& environment)
    : lease_(lease), environment_(environment), jobs_(rows, lease),
      book_(environment.clock),
      recorder_(book_, environment.directory, environment.placement,
                environment.clock, environment.counters),
      caller_(environment.links, environment.directory),
      coordinator_(jobs_, environment.objects, caller_, environment.directory,
                   lease, environment.clock, recorder_),
      ledger_(environment.clock)
{
}

bool decider_process::is_round_due()
{
    auto const now = environment_.clock.now();
    if (!is_woken_.exchange(false) && now - last_round_ < round_period)
        return false;
    last_round_ = now;
    return true;
}

void decider_process::tick()
{
    if (!is_round_due() || !follow_lease())
        return;
    auto const now = environment_.clock.now();
    if (is_scan_wanted_.exchange(false) || now - last_scan_ >= scan_period)
        scan(false, recovered_term_);
    maintain_jobs();
    place_jobs();
}

bool decider_process::follow_lease()
{
    auto const state = lease_.state();
    if (state == lease_state::follower) {
        if (recovered_term_.exchange(0) != 0)
            ledger_.clear();
        return false;
    }
    if (state == lease_state::suspended) {
        maintain_jobs();
        return false;
    }
    if (recovered_term_ == lease_.term())
        return true;
    ledger_.clear();
    book_.clear();
    rejected_since_.clear();
    auto const term = lease_.term();
    if (!scan(true, term))
        return false;
    recovered_term_ = term;
    return true;
}

bool decider_process::scan(bool is_recovery, std::uint64_t term)
{
    auto open = jobs_.scan_open();
    if (!core::is_ok(open)) {
        core::log(core::log_level::warning, "the jobs could not be read",
                  {{"error", core::failure(open).message}});
        is_scan_wanted_ = true;
        return false;
    }
    last_scan_ = environment_.clock.now();
    for (auto& job : core::value(open))
        ledger_.merge(std::move(job), is_recovery, term);
    return true;
}

void decider_process::maintain_jobs()
{
    auto const now = environment_.clock.now();
    bool const is_loss_check = now - last_loss_check_ >= loss_check_period;
    if (is_loss_check)
        last_loss_check_ = now;
    for (auto const& job : ledger_.jobs()) {
        auto const data = job->snapshot();
        bool const is_checked =
            is_loss_check && data.record.state == job_state::running;
        if (is_checked || is_due(data))
            post(environment_.upkeep, job);
    }
}

void decider_process::post(task_runner& runner,
                           job_ledger::job_pointer const& job)
{
    if (!job->begin_wait())
        return;
    runner.post([this, job] {
        std::lock_guard const lock(job->operation());
        job->end_wait();
        advance(job);
    });
}

void decider_process::advance(job_ledger::job_pointer const& job)
{
    auto const before = job->snapshot().record;
    coordinator_.advance(*job);
    auto const after = job->snapshot();
    if (after.record.state != before.state)
        wake();
    if (is_final_and_settled(after))
        ledger_.remove(after.record.job_id);
}

void decider_process::place_jobs()
{
    std::vector<job_data> jobs;
    for (auto const& job : ledger_.jobs())
        jobs.push_back(job->snapshot());
    auto const targets =
        environment_.directory.targets(peers::target_kind::worker);
    auto const snapshot = book_.build(targets, jobs);
    auto const rules = environment_.rules.rules();
    auto const decision = recorder_.decide(
        {snapshot.workers, snapshot.pending, snapshot.running, *rules});
    carry_out(snapshot, decision);
}

void decider_process::carry_out(fleet_snapshot const& snapshot,
                                policy::decision const& decision)
{
    std::map<std::string, std::string, std::less<>> notes;
    for (auto const& note : decision.notes)
        notes[note.job_id] = note.text;
    carry_out(decision.rejections, notes);
    {
        std::lock_guard const lock(notes_mutex_);
        notes_ = std::move(notes);
    }
    for (auto const& eviction : decision.evictions)
        carry_out(eviction);
    for (auto const& placement : decision.placements)
        carry_out(snapshot, placement);
}

void decider_process::carry_out(fleet_snapshot const& snapshot,
                                policy::placement const& placement)
{
    auto const job = ledger_.find(placement.job_id);
    if (job == nullptr)
        return;
    std::vector<policy::placed_member> planned;
    for (auto const index : placement.members) {
        if (index >= snapshot.workers.size() ||
            !snapshot.workers[index].accepts_work)
            return;
        planned.push_back(snapshot.places[index]);
    }
    bool const is_planned = job->with([&](job_data& data) {
        bool const is_free = data.record.state == job_state::queued &&
                             data.planned.empty() && !data.pending;
        if (!is_free ||
            planned.size() != static_cast<std::size_t>(data.record.members))
            return false;
        data.planned = planned;
        data.is_planned_borrowing = placement.is_borrowing;
        return true;
    });
    if (is_planned)
        post(environment_.placements, job);
}

core::duration decider_process::grace_for(std::string_view owner_id)
{
    // A reclaim must be done within 10 s although a victim's agent may stop
    // answering; the rest is for the last stop and the reservation.
    constexpr core::duration reclaim_limit = std::chrono::seconds(10);
    constexpr core::duration placement_time{2500};
    auto const owner = ledger_.find(owner_id);
    if (owner == nullptr)
        return eviction_grace_limit;
    auto const now = environment_.clock.now();
    auto const started_at = owner->with([now](job_data& data) {
        if (!data.reclaim_started_at)
            data.reclaim_started_at = now;
        return *data.reclaim_started_at;
    });
    return std::clamp(reclaim_limit - placement_time - (now - started_at),
                      core::duration(0), eviction_grace_limit);
}

void decider_process::carry_out(policy::eviction const& eviction)
{
    auto const grace = grace_for(eviction.preemptor_job_id);
    auto const job = ledger_.find(eviction.job_id);
    if (job == nullptr)
        return;
    bool const is_accepted = job->with([&](job_data& data) {
        // Stopping an unrepeatable job would end it for good.
        if (data.record.state != job_state::running ||
            data.record.is_unrepeatable || data.eviction)
            return false;
        data.eviction = eviction_text(eviction);
        data.eviction_grace = grace;
        return true;
    });
    if (is_accepted)
        post(environment_.upkeep, job);
}

void decider_process::carry_out(
    std::vector<policy::rejection> const& rejections,
    std::map<std::string, std::string, std::less<>>& notes)
{
    auto const now = environment_.clock.now();
    std::map<std::string, core::time_point> since;
    for (auto const& rejection : rejections) {
        auto const& job_id = rejection.job_id;
        auto const known = rejected_since_.find(job_id);
        auto const first = known == rejected_since_.end() ? now : known->second;
        since[job_id] = first;
        notes[job_id] = "waiting, but it cannot run now: " + rejection.reason;
        auto const job = ledger_.find(job_id);
        if (job == nullptr || now - first < rejection_patience)
            continue;
        job->with([&](job_data& data) { data.rejection = rejection.reason; });
        post(environment_.upkeep, job);
    }
    rejected_since_ = std::move(since);
}

core::result_code
decider_process::take_report(peers::member_report const& report)
{
    auto const job = ledger_.find(report.job_id);
    if (job == nullptr)
        return take_unknown(report);
    job->with([&](job_data& data) { decider::take_report(data, report); });
    std::unique_lock const lock(job->operation(), std::try_to_lock);
    // A report that arrives during a call to an agent is repeated; waiting
    // here would occupy a thread of the message server.
    if (lock.owns_lock())
        advance(job);
    else
        wake();
    auto const answer = answer_to(job->snapshot(), report);
    if (answer == core::result_code::ok &&
        report.attempt < job->snapshot().record.attempt)
        ++environment_.counters.counter("decider.reports_of_older_attempts");
    return answer;
}

core::result_code
decider_process::take_unknown(peers::member_report const& report)
{
    if (lease_.state() != lease_state::holding || recovered_term_ == 0)
        return core::result_code::not_ready;
    auto read = jobs_.read(report.job_id);
    if (core::code_of(read) == core::result_code::unknown_job)
        return core::result_code::ok;
    if (!core::is_ok(read))
        return core::result_code::store_unavailable;
    auto const& record = core::value(read).record;
    if (policy::is_final(record.state) || record.attempt > report.attempt)
        return core::result_code::ok;
    ledger_.merge(std::move(core::value(read)), true, recovered_term_);
    wake();
    return core::result_code::still_running;
}

core::status decider_process::take_change(std::string_view job_id)
{
    if (lease_.state() == lease_state::follower)
        return core::error{core::result_code::not_ready,
                           "this entry is not the decider"};
    if (job_id.empty()) {
        is_scan_wanted_ = true;
        for (auto const& job : ledger_.jobs())
            job->with([](job_data& data) {
                if (data.record.state == job_state::queued)
                    data.is_row_stale = true;
            });
        wake();
        return core::success();
    }
    if (auto const job = ledger_.find(job_id)) {
        job->with([](job_data& data) { data.is_row_stale = true; });
        wake();
        return core::success();
    }
    SEQUOIA_TRY_INTO(auto read, jobs_.read(job_id));
    if (!policy::is_final(read.record.state) && recovered_term_ != 0)
        ledger_.merge(std::move(read), false, recovered_term_);
    wake();
    return core::success();
}

std::string decider_process::note(std::string_view job_id) const
{
    std::lock_guard const lock(notes_mutex_);
    auto const found = notes_.find(job_id);
    return found == notes_.end() ? std::string{} : found->second;
}

core::json decider_process::dump() const
{
    auto jobs = core::json::array();
    for (auto const& job : ledger_.jobs()) {
        auto const data = job->snapshot();
        auto workers = core::json::array();
        for (auto const& placed : data.record.placed)
            workers.push_back(placed.worker_id);
        jobs.push_back({{"job_id", data.record.job_id},
                        {"customer", data.record.customer},
                        {"state", data.record.state},
                        {"attempt", data.record.attempt},
                        {"workers", workers},
                        {"has_unknown_write", data.pending.has_value()},
                        {"note", note(data.record.job_id)}});
    }
    return {{"jobs", jobs}, {"quarantined", book_.quarantined()}};
}

} // namespace sequoiaroute::decider
