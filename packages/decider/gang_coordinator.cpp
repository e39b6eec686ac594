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

/// No job takes more steps than this before it waits for somebody.
constexpr int steps_at_once = 8;

/// An object store that is down is not asked in every round.
constexpr core::duration store_repeat_period = std::chrono::seconds(2);

std::vector<std::size_t> all_members(policy::job_record const& record)
{
    std::vector<std::size_t> members(record.placed.size());
    std::iota(members.begin(), members.end(), 0);
    return members;
}

bool is_from(member_answer const& answer, policy::placed_member const& placed)
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

bool is_planned_stop(policy::job_record const& record)
{
    return record.code == 0 && !record.is_cancel_requested;
}

} // namespace

gang_coordinator::gang_coordinator(
    job_store& jobs, platform::object_store& objects, member_caller& caller,
    targets::target_directory& directory, decider_lease& lease,
    core::clock const& clock, attempt_observer& observer)
    : writer_(jobs, clock, observer,
              [this](auto const& record, auto term) {
                  release_members(record, term);
              }),
      objects_(objects), caller_(caller), directory_(directory), lease_(lease),
      clock_(clock), observer_(observer)
{
}

void gang_coordinator::advance(open_job& job)
{
    auto const state = lease_.state();
    if (state == lease_state::follower || job.snapshot().term != lease_.term())
        return;
    if (state == lease_state::suspended) {
        // A stop is safe without the table: nobody else can have become the
        // decider, and the row already says that the attempt ends.
        auto const data = job.snapshot();
        if (data.record.state == job_state::stopping && !data.pending)
            stop_members(job);
        return;
    }
    if (!writer_.settle(job))
        return;
    int steps = 0;
    while (step(job) && ++steps < steps_at_once) {
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
    if (data.rejection)
        return writer_.persist(
            job, transitions::reject(data.record, *data.rejection));
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
    auto const answers =
        caller_.command(peers::message_kind::reserve, data.record, data.term,
                        all_members(data.record), member_caller::reserve_limit);
    for (auto const& answer : answers) {
        auto const& placed = data.record.placed[answer.member];
        bool const is_reserved =
            answer.code() == result_code::ok && is_from(answer, placed);
        job.with([&](job_data& current) {
            current.members[answer.member].is_reserved = is_reserved;
        });
        if (is_reserved)
            continue;
        if (!answer.has_answer())
            directory_.note_failure(placed.worker_id);
        observer_.on_refused(placed.worker_id);
    }
    return have_all_reserved(job.snapshot());
}

void gang_coordinator::release_members(policy::job_record const& record,
                                       std::uint64_t term)
{
    auto const answers = caller_.end(peers::message_kind::release, record, term,
                                     all_members(record), core::duration(0));
    for (auto const& answer : answers) {
        auto const& worker = record.placed[answer.member].worker_id;
        if (!answer.has_answer())
            observer_.on_release_unconfirmed(worker, record.member);
    }
}

bool gang_coordinator::step_running(open_job& job)
{
    find_lost_members(job);
    auto const data = job.snapshot();
    if (have_all_finished(data))
        return finish(job);
    if (data.record.is_cancel_requested)
        return writer_.persist(job, transitions::stop(data.record,
                                                      result_code::cancelled,
                                                      "cancelled on request"));
    if (stop_if_member_ended(job))
        return true;
    if (data.eviction)
        return writer_.persist(
            job,
            transitions::stop(data.record, result_code::ok, *data.eviction));
    return start_members(job);
}

bool gang_coordinator::stop_if_member_ended(open_job& job)
{
    auto const data = job.snapshot();
    auto const record = with_checkpoints(data);
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
    auto const gone = members_where(data, [](auto const& member) {
        return member.is_restarted ||
               (member.has_ended && member.end_state != member_state::finished);
    });
    if (gone.empty())
        return false;
    return writer_.persist(
        job, transitions::stop(record, result_code::unreachable,
                               data.members[gone.front()].detail));
}

bool gang_coordinator::start_members(open_job& job)
{
    auto const data = job.snapshot();
    auto const now = clock_.now();
    auto const due = members_where(data, [now](auto const& member) {
        return !member.is_started && !member.has_ended &&
               member.next_call <= now;
    });
    if (due.empty())
        return false;
    auto const answers =
        caller_.command(peers::message_kind::start, data.record, data.term, due,
                        member_caller::command_limit);
    for (auto const& answer : answers)
        note_start_answer(job, answer);
    // An answer that names an end, or a refusal, is acted on at once.
    return !members_where(job.snapshot(), [](auto const& member) {
                return member.has_ended || member.is_restarted;
            }).empty();
}

void gang_coordinator::note_start_answer(open_job& job,
                                         member_answer const& answer)
{
    auto const now = clock_.now();
    auto const report = answer.report();
    job.with([&](job_data& data) {
        auto& member = data.members[answer.member];
        auto& placed = data.record.placed[answer.member];
        member.next_call = now + repeat_period;
        if (!answer.has_answer() || answer.code() == result_code::stale_term)
            return;
        if (!is_from(answer, placed)) {
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
        job.with([&](job_data& data) { handle_report(data, report); });
}

bool gang_coordinator::step_stopping(open_job& job)
{
    find_lost_members(job);
    auto const data = job.snapshot();
    if (have_all_finished(data))
        return finish(job);
    if (have_all_ended(data))
        return writer_.persist(
            job, transitions::end_attempt(with_checkpoints(data)));
    return stop_members(job);
}

bool gang_coordinator::stop_members(open_job& job)
{
    auto const data = job.snapshot();
    auto const now = clock_.now();
    auto const due = members_where(data, [now](auto const& member) {
        return !member.has_ended && member.next_call <= now;
    });
    if (due.empty())
        return false;
    bool const has_grace =
        is_planned_stop(data.record) &&
        std::none_of(due.begin(), due.end(), [&](std::size_t member) {
            return data.members[member].has_stop_sent;
        });
    auto const grace = has_grace ? data.eviction_grace : core::duration(0);
    auto const answers = caller_.end(peers::message_kind::stop, data.record,
                                     data.term, due, grace);
    for (auto const& answer : answers) {
        job.with([&](job_data& current) {
            auto& member = current.members[answer.member];
            member.next_call =
                now + grace +
                (answer.has_answer() ? repeat_period : silent_repeat_period);
            member.has_stop_sent = true;
        });
        // Other room is chosen at once, not when reports are missed for 15 s:
        // a reclaim must be done within 10 s.
        if (!answer.has_answer())
            directory_.note_failure(
                data.record.placed[answer.member].worker_id);
        note_stop_answer(job, answer);
    }
    return have_all_ended(job.snapshot());
}

void gang_coordinator::note_stop_answer(open_job& job,
                                        member_answer const& answer)
{
    if (!answer.has_answer())
        return;
    auto const report = answer.report();
    auto const record = job.snapshot().record;
    auto const& placed = record.placed[answer.member];
    if (answer.code() == result_code::ok && report.job_id == record.job_id) {
        job.with([&](job_data& data) { handle_report(data, report); });
        return;
    }
    // An agent that does not know the attempt runs nothing of it. Another
    // incarnation cannot speak for the tasks of the one before.
    if (answer.code() != result_code::unknown_attempt ||
        !is_from(answer, placed))
        return;
    job.with([&](job_data& data) {
        data.members[answer.member].has_ended = true;
        data.members[answer.member].end_state = member_state::stopped;
    });
}

void gang_coordinator::find_lost_members(open_job& job)
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
            // A start may have reached the new incarnation although its
            // answer is missing, so that one must confirm a stop as well.
            member.is_restarted = true;
            member.next_call = {};
            auto& moved = changed.record.placed[index];
            moved.agent_incarnation = current->report.incarnation;
            moved.agent_address = current->report.address;
        });
    }
}

bool gang_coordinator::finish(open_job& job)
{
    auto const data = job.snapshot();
    if (clock_.now() < data.store_again_at)
        return false;
    auto outputs = core::json::array();
    for (auto const& member : data.members)
        outputs.push_back(member.output);
    auto const key = fmt::format("results/jobs/{}/{}", data.record.job_id,
                                 data.record.attempt);
    auto const stored =
        objects_.put(key, core::json{{"outputs", outputs}}.dump());
    // Storing again is harmless, so any failure is simply tried again.
    if (!core::is_ok(stored)) {
        auto const again_at = clock_.now() + store_repeat_period;
        job.with([&](job_data& changed) { changed.store_again_at = again_at; });
        return false;
    }
    return writer_.persist(
        job, transitions::finish(data.record, data.record.attempt, key));
}

} // namespace sequoiaroute::decider
