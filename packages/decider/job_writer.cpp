#include "decider/job_writer.hpp"

#include "core/log.hpp"

#include <fmt/format.h>

namespace sequoiaroute::decider {

namespace {

using core::result_code;
using policy::job_state;

bool is_active(job_state state)
{
    return state == job_state::reserving || state == job_state::running ||
           state == job_state::stopping;
}

void log_change(policy::job_record const& next)
{
    core::log(core::log_level::info, "job state changed",
              {{"job", next.job_id},
               {"customer", next.customer},
               {"state", core::json(next.state).get<std::string>()},
               {"attempt", std::to_string(next.attempt)},
               {"reason", next.reason}});
}

/// Resets the in-memory state of the attempt and its members as the new state
/// of the job requires.
void reset_attempt_state(job_data& data, core::time_point now)
{
    auto const& record = data.record;
    if (record.state == job_state::reserving) {
        data.members.assign(record.placed.size(), {});
        data.planned.clear();
        data.reclaim_started_at.reset();
        data.reserved_at = now;
        data.is_recovered = false;
    }
    if (record.state == job_state::running)
        data.started_at = now;
    if (record.state == job_state::stopping) {
        for (auto& member : data.members)
            member.next_send_at = {};
    }
    if (!is_active(record.state)) {
        data.members.clear();
        data.eviction_reason.reset();
        data.eviction_grace = eviction_grace_limit;
        data.is_recovered = false;
    }
}

} // namespace

job_writer::job_writer(job_store& store, core::clock const& clock,
                       attempt_observer& observer, release_function release)
    : store_(store), clock_(clock), observer_(observer),
      release_(std::move(release))
{
}

bool job_writer::reconcile(open_job& job)
{
    if (job.snapshot().pending_write && !commit_pending(job))
        return false;
    if (job.snapshot().is_row_stale)
        return refresh(job);
    return true;
}

bool job_writer::refresh(open_job& job)
{
    auto const read = store_.read(job.snapshot().record.job_id);
    if (!core::is_ok(read))
        return false;
    auto const& stored = core::value(read);
    if (stored.row.version < job.snapshot().min_version)
        return false;
    job.with([&](job_data& data) {
        data.min_version = stored.row.version;
        bool const is_other_attempt =
            data.record.attempt != stored.record.attempt ||
            data.record.placed.size() != stored.record.placed.size();
        data.record = stored.record;
        data.row = stored.row;
        data.is_row_stale = false;
        if (is_other_attempt)
            data.members.assign(data.record.placed.size(), {});
    });
    return true;
}

bool job_writer::persist(open_job& job,
                         policy::job_transitions::change const& change)
{
    if (!core::is_ok(change)) {
        core::log(core::log_level::warning, core::failure(change).message);
        return false;
    }
    job.with([&](job_data& data) {
        data.pending_write = job_write{data.row, core::value(change)};
    });
    return commit_pending(job);
}

bool job_writer::commit_pending(open_job& job)
{
    auto const before = job.snapshot();
    auto write = *before.pending_write;
    auto const outcome = store_.commit(write);
    auto const code = core::code_of(outcome);
    if (code == result_code::write_unknown) {
        job.with([&](job_data& data) { data.pending_write = write; });
        return false;
    }
    job.with([](job_data& data) {
        data.pending_write.reset();
        // A placement that was not written is dropped; the next round decides
        // anew from the current fleet.
        data.planned.clear();
    });
    if (code == result_code::ok) {
        handle_committed(job, before, write.next);
        return true;
    }
    if (code == result_code::conflict) {
        job.with([](job_data& data) { data.is_row_stale = true; });
        return refresh(job);
    }
    return false;
}

void job_writer::handle_committed(open_job& job, job_data const& before,
                                  policy::job_record const& next)
{
    log_change(next);
    auto const now = clock_.now();
    job.with([&](job_data& data) {
        data.record = next;
        data.is_row_stale = true;
        data.min_version = before.row.version + 1;
        reset_attempt_state(data, now);
    });
    // The table does not return the new version, so the row is read again. If
    // that fails now, it is read before the next step.
    refresh(job);
    notify_observer(before, next);
}

void job_writer::notify_observer(job_data const& before,
                                 policy::job_record const& next)
{
    auto const& record = before.record;
    for (auto const& placed : record.placed)
        observer_.on_worker_changed(placed.worker_id);
    if (record.state == job_state::reserving &&
        next.state != job_state::running)
        release_(record, before.term);
    if (next.failed_workers.size() > record.failed_workers.size())
        observer_.on_member_failed(next, next.failed_workers.back());
    bool const had_attempt = record.state == job_state::running ||
                             record.state == job_state::stopping;
    if (policy::is_final(next.state) ||
        (had_attempt && next.state == job_state::queued))
        observer_.on_end(before, next);
}

} // namespace sequoiaroute::decider
