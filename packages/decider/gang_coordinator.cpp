#include "decider/gang_coordinator.hpp"

#include "decider/attempt_progress.hpp"

#include <algorithm>
#include <numeric>

#include <fmt/format.h>

namespace sequoiaroute::decider {

namespace {

using core::result_code;
using peers::member_state;
using policy::job_state;
namespace transitions = policy::job_transitions;

/// Bounds the steps of one advance() call; every job needs fewer before it has
/// to wait.
constexpr int max_steps_per_advance = 8;

/// Keeps an unavailable object store from being called in every round.
constexpr core::duration result_store_retry_period = std::chrono::seconds(2);

std::vector<std::size_t> all_members(policy::job_record const& record)
{
    std::vector<std::size_t> members(record.placed.size());
    std::iota(members.begin(), members.end(), 0);
    return members;
}

/// Whether an answer comes from the agent incarnation that the member was
/// placed on. An answer without an incarnation is accepted.
bool is_from_placed_incarnation(member_answer const& answer,
                                policy::placed_member const& placed)
{
    auto const& incarnation = core::value(answer.answer).incarnation;
    return incarnation.empty() || incarnation == placed.agent_incarnation;
}

template <class Predicate>
std::vector<std::size_t> members_where(job_data const& data,
                                       Predicate predicate)
{
    std::vector<std::size_t> members;
    for (std::size_t index = 0; index < data.members.size(); ++index) {
        if (predicate(data.members[index]))
            members.push_back(index);
    }
    return members;
}

/// Whether an attempt is stopped for an eviction, so that its members get time
/// for a checkpoint.
bool is_eviction(policy::job_record const& record)
{
    return record.code == 0 && !record.is_cancel_requested;
}

} // namespace

gang_coordinator::gang_coordinator(
    job_store& store, platform::object_store& objects,
    member_command_sender& command_sender, targets::target_directory& directory,
    decider_lease& lease, core::clock const& clock, attempt_observer& observer)
    : writer_(store, clock, observer,
              [this](auto const& record, auto term) {
                  release_members(record, term);
              }),
      objects_(objects), command_sender_(command_sender), directory_(directory),
      lease_(lease), clock_(clock), observer_(observer)
{
}

void gang_coordinator::advance(open_job& job)
{
    auto const state = lease_.state();
    if (state == lease_state::follower || job.snapshot().term != lease_.term())
        return;
    if (state == lease_state::suspended) {
        // Stopping is safe without the table: no other entry can have taken the
        // lease, and the row already has the state stopping.
        auto const data = job.snapshot();
        if (data.record.state == job_state::stopping && !data.pending_write)
            stop_members(job);
        return;
    }
    if (!writer_.reconcile(job))
        return;
    int steps = 0;
    while (step(job) && ++steps < max_steps_per_advance) {
    }
}

bool gang_coordinator::step(open_job& job)
{
    switch (job.snapshot().record.state) {
    case job_state::queued:
        return step_queued(job);
    case job_state::reserving:
        return step_reserving(job);
    case job_state::running:
        return step_running(job);
    case job_state::stopping:
        return step_stopping(job);
    default:
        return false;
    }
}

bool gang_coordinator::step_queued(open_job& job)
{
    auto const data = job.snapshot();
    if (data.record.is_cancel_requested)
        return writer_.persist(job, transitions::cancel(data.record));
    if (data.rejection_reason)
        return writer_.persist(
            job, transitions::reject(data.record, *data.rejection_reason));
    if (data.planned.empty())
        return false;
    return writer_.persist(
        job, transitions::reserve(data.record, data.term, data.planned,
                                  data.is_planned_borrowing));
}

bool gang_coordinator::step_reserving(open_job& job)
{
    auto const data = job.snapshot();
    bool const is_too_old =
        clock_.now() - data.reserved_at > reservation_validity;
    if (data.record.is_cancel_requested || data.is_recovered || is_too_old)
        return writer_.persist(job, transitions::abandon(data.record));
    if (have_all_reserved(data) || reserve_members(job))
        return writer_.persist(job, transitions::commit(data.record));
    return writer_.persist(job, transitions::abandon(data.record));
}

bool gang_coordinator::reserve_members(open_job& job)
{
    auto const data = job.snapshot();
    auto const answers = command_sender_.send_command(
        peers::message_kind::reserve, data.record, data.term,
        all_members(data.record), member_command_sender::reserve_time_limit);
    for (auto const& answer : answers) {
        auto const& placed = data.record.placed[answer.member];
        bool const is_reserved = answer.code() == result_code::ok &&
                                 is_from_placed_incarnation(answer, placed);
        job.with([&](job_data& current) {
            current.members[answer.member].is_reserved = is_reserved;
        });
        if (is_reserved)
            continue;
        if (!answer.has_answer())
            directory_.record_failure(placed.worker_id);
        observer_.on_reservation_refused(placed.worker_id);
    }
    return have_all_reserved(job.snapshot());
}

void gang_coordinator::release_members(policy::job_record const& record,
                                       std::uint64_t term)
{
    auto const answers =
        command_sender_.end(peers::message_kind::release, record, term,
                            all_members(record), core::duration(0));
    for (auto const& answer : answers) {
        auto const& worker = record.placed[answer.member].worker_id;
        if (!answer.has_answer())
            observer_.on_release_unconfirmed(worker, record.member);
    }
}

bool gang_coordinator::step_running(open_job& job)
{
    mark_lost_members(job);
    auto const data = job.snapshot();
    if (have_all_finished(data))
        return finish(job);
    if (data.record.is_cancel_requested)
        return writer_.persist(job, transitions::stop(data.record,
                                                      result_code::cancelled,
                                                      "cancelled on request"));
    if (stop_if_member_ended(job))
        return true;
    if (data.eviction_reason)
        return writer_.persist(job,
                               transitions::stop(data.record, result_code::ok,
                                                 *data.eviction_reason));
    return start_members(job);
}

bool gang_coordinator::stop_if_member_ended(open_job& job)
{
    auto const data = job.snapshot();
    auto const record = record_with_checkpoints(data);
    auto const failed = members_where(data, [](auto const& member) {
        return member.has_ended && member.end_state == member_state::failed;
    });
    if (!failed.empty()) {
        auto const& worker = record.placed[failed.front()].worker_id;
        return writer_.persist(
            job,
            transitions::stop(record, result_code::execution_failed,
                              data.members[failed.front()].detail, worker));
    }
    auto const lost = members_where(data, [](auto const& member) {
        return member.is_restarted ||
               (member.has_ended && member.end_state != member_state::finished);
    });
    if (lost.empty())
        return false;
    return writer_.persist(
        job, transitions::stop(record, result_code::unreachable,
                               data.members[lost.front()].detail));
}

bool gang_coordinator::start_members(open_job& job)
{
    auto const data = job.snapshot();
    auto const now = clock_.now();
    auto const due = members_where(data, [now](auto const& member) {
        return !member.is_started && !member.has_ended &&
               member.next_send_at <= now;
    });
    if (due.empty())
        return false;
    auto const answers = command_sender_.send_command(
        peers::message_kind::start, data.record, data.term, due,
        member_command_sender::command_time_limit);
    for (auto const& answer : answers)
        apply_start_answer(job, answer);
    // If a member has ended, refused or restarted, the next step stops the gang
    // at once.
    return !members_where(job.snapshot(), [](auto const& member) {
                return member.has_ended || member.is_restarted;
            }).empty();
}

void gang_coordinator::apply_start_answer(open_job& job,
                                          member_answer const& answer)
{
    auto const now = clock_.now();
    auto const report = answer.report();
    job.with([&](job_data& data) {
        auto& member = data.members[answer.member];
        auto& placed = data.record.placed[answer.member];
        member.next_send_at = now + retry_period;
        if (!answer.has_answer() || answer.code() == result_code::stale_term)
            return;
        if (!is_from_placed_incarnation(answer, placed)) {
            placed.agent_incarnation = core::value(answer.answer).incarnation;
            member.is_restarted = true;
            member.detail = "the agent of " + placed.worker_id + " restarted";
            return;
        }
        if (answer.code() == result_code::ok) {
            member.is_started = true;
            return;
        }
        member.has_ended = true;
        member.end_state = member_state::stopped;
        member.detail =
            fmt::format("worker {} refused to start: {}", placed.worker_id,
                        core::value(answer.answer).message);
    });
    if (report.job_id == job.snapshot().record.job_id)
        job.with([&](job_data& data) { apply_report(data, report); });
}

bool gang_coordinator::step_stopping(open_job& job)
{
    mark_lost_members(job);
    auto const data = job.snapshot();
    if (have_all_finished(data))
        return finish(job);
    if (have_all_ended(data))
        return writer_.persist(
            job, transitions::end_attempt(record_with_checkpoints(data)));
    return stop_members(job);
}

bool gang_coordinator::stop_members(open_job& job)
{
    auto const data = job.snapshot();
    auto const now = clock_.now();
    auto const due = members_where(data, [now](auto const& member) {
        return !member.has_ended && member.next_send_at <= now;
    });
    if (due.empty())
        return false;
    bool const has_grace =
        is_eviction(data.record) &&
        std::none_of(due.begin(), due.end(), [&](std::size_t member) {
            return data.members[member].is_stop_sent;
        });
    auto const grace = has_grace ? data.eviction_grace : core::duration(0);
    auto const answers = command_sender_.end(
        peers::message_kind::stop, data.record, data.term, due, grace);
    for (auto const& answer : answers) {
        job.with([&](job_data& current) {
            auto& member = current.members[answer.member];
            member.next_send_at =
                now + grace +
                (answer.has_answer() ? retry_period
                                     : unresponsive_retry_period);
            member.is_stop_sent = true;
        });
        // Marks the worker as suspect now, so that placement avoids it at once
        // and not after 15 s without reports; a guarantee must be reclaimed
        // within 10 s.
        if (!answer.has_answer())
            directory_.record_failure(
                data.record.placed[answer.member].worker_id);
        apply_stop_answer(job, answer);
    }
    return have_all_ended(job.snapshot());
}

void gang_coordinator::apply_stop_answer(open_job& job,
                                         member_answer const& answer)
{
    if (!answer.has_answer())
        return;
    auto const report = answer.report();
    auto const record = job.snapshot().record;
    auto const& placed = record.placed[answer.member];
    if (answer.code() == result_code::ok && report.job_id == record.job_id) {
        job.with([&](job_data& data) { apply_report(data, report); });
        return;
    }
    // An agent that answers unknown_attempt runs no task of the attempt. This
    // holds only for the placed incarnation; another one does not know about
    // the tasks of its predecessor.
    if (answer.code() != result_code::unknown_attempt ||
        !is_from_placed_incarnation(answer, placed))
        return;
    job.with([&](job_data& data) {
        data.members[answer.member].has_ended = true;
        data.members[answer.member].end_state = member_state::stopped;
    });
}

void gang_coordinator::mark_lost_members(open_job& job)
{
    auto const data = job.snapshot();
    for (std::size_t index = 0; index < data.members.size(); ++index) {
        auto const& placed = data.record.placed[index];
        if (data.members[index].has_ended ||
            !directory_.is_lost(placed.worker_id, placed.agent_incarnation))
            continue;
        auto const targets = directory_.targets(peers::target_kind::worker);
        auto const current = std::find_if(
            targets.begin(), targets.end(), [&](auto const& target) {
                return target.report.target_id == placed.worker_id &&
                       target.report.incarnation != placed.agent_incarnation;
            });
        job.with([&](job_data& changed) {
            auto& member = changed.members[index];
            member.detail = fmt::format("worker {} was lost", placed.worker_id);
            if (current == targets.end()) {
                member.has_ended = true;
                member.end_state = member_state::stopped;
                return;
            }
            // A start whose answer was lost may have reached the new
            // incarnation, so that one must confirm a stop too.
            member.is_restarted = true;
            member.next_send_at = {};
            auto& current_placed = changed.record.placed[index];
            current_placed.agent_incarnation = current->report.incarnation;
            current_placed.agent_address = current->report.address;
        });
    }
}

bool gang_coordinator::finish(open_job& job)
{
    auto const data = job.snapshot();
    if (clock_.now() < data.result_retry_at)
        return false;
    auto outputs = core::json::array();
    for (auto const& member : data.members)
        outputs.push_back(member.output);
    auto const key = fmt::format("results/jobs/{}/{}", data.record.job_id,
                                 data.record.attempt);
    auto const stored =
        objects_.put(key, core::json{{"outputs", outputs}}.dump());
    // Storing the result is idempotent, so it is retried after any error.
    if (!core::is_ok(stored)) {
        auto const retry_at = clock_.now() + result_store_retry_period;
        job.with(
            [&](job_data& changed) { changed.result_retry_at = retry_at; });
        return false;
    }
    return writer_.persist(
        job, transitions::finish(data.record, data.record.attempt, key));
}

} // namespace sequoiaroute::decider
