#include "core/log.hpp"
#include "workers/task_supervisor.hpp"

#include <algorithm>
#include <utility>

namespace sequoiaroute::workers {

using core::result_code;
using peers::member_state;

void task_supervisor::recover()
{
    {
        std::lock_guard const lock(mutex_);
        is_recovering_ = true;
    }
    auto const listed = runtime_.tasks();
    if (!is_ok(listed)) {
        core::log(core::log_level::warning,
                  "the task runtime cannot be asked for its tasks; retrying",
                  {{"fault", failure(listed).message}});
        return;
    }
    std::lock_guard const lock(mutex_);
    for (auto const& report : value(listed))
        recover_member(report);
    is_recovering_ = false;
}

void task_supervisor::recover_member(platform::task_report const& report)
{
    auto const key = member_key::from_task_id(report.task_id);
    if (!key || members_.contains(*key))
        return;
    member_record record;
    record.command.job_id = key->job_id;
    record.command.attempt = key->attempt;
    record.command.member = key->member;
    record.is_recovered = true;
    record.phase = member_phase::stopping;
    record.detail = "the agent was restarted";
    record.started_at = clock_.now();
    record.renewed_at = clock_.now();
    record.stop_at = clock_.now();
    auto& recovered = members_.emplace(*key, std::move(record)).first->second;
    apply_report(recovered, &report, clock_.now());
}

void task_supervisor::tick()
{
    bool is_recovering = false;
    {
        std::lock_guard const lock(mutex_);
        is_recovering = is_recovering_;
    }
    if (is_recovering)
        recover();
    expire_members();
    renew_leases();
    stop_due_tasks();
    poll_tasks();
}

bool task_supervisor::is_lease_expired(member_record const& record) const
{
    return clock_.now() - record.renewed_at >= options_.lease;
}

void task_supervisor::expire_members()
{
    std::lock_guard const lock(mutex_);
    auto const now = clock_.now();
    stopped_attempts_.expire(now);
    for (auto current = members_.begin(); current != members_.end();) {
        auto& record = current->second;
        auto const is_reservation_expired =
            record.phase == member_phase::reserved &&
            now - record.reserved_at >= options_.reservation_limit;
        auto const is_retention_over =
            record.phase == member_phase::ended && record.is_acknowledged &&
            now - record.ended_at >= options_.ended_retention;
        // A repeated start must not run the task again after its record has
        // been removed.
        if (is_retention_over)
            stopped_attempts_.add(record.command.job_id, record.command.attempt,
                                  now);
        if (is_reservation_expired || is_retention_over) {
            current = members_.erase(current);
            continue;
        }
        // If this process was frozen, the runtime has stopped the task. A late
        // renewal must not revive a member that its gang has given up.
        if (record.phase == member_phase::running && is_lease_expired(record)) {
            stopped_attempts_.add(record.command.job_id, record.command.attempt,
                                  now);
            begin_stop(record, member_state::stopped, core::duration::zero(),
                       "the lease expired");
        }
        ++current;
    }
}

std::vector<std::pair<member_key, std::string>> task_supervisor::select_members(
    bool (*predicate)(member_record const&, core::time_point))
{
    std::lock_guard const lock(mutex_);
    std::vector<std::pair<member_key, std::string>> selected;
    for (auto const& [key, record] : members_) {
        if (predicate(record, clock_.now()))
            selected.emplace_back(key, key.task_id());
    }
    return selected;
}

void task_supervisor::renew_leases()
{
    auto const due_members =
        select_members([](member_record const& record, core::time_point now) {
            auto const is_in_grace =
                record.phase == member_phase::stopping && now < record.stop_at;
            return (record.phase == member_phase::running || is_in_grace) &&
                   now >= record.renew_at;
        });
    for (auto const& [key, task_id] : due_members) {
        auto const requested_at = clock_.now();
        auto const outcome = runtime_.renew(task_id, options_.lease);
        std::lock_guard const lock(mutex_);
        auto const found = members_.find(key);
        if (found == members_.end())
            continue;
        auto& record = found->second;
        if (is_ok(outcome)) {
            record.renewed_at = requested_at;
            record.renew_at = requested_at + options_.renew_period;
        } else if (code_of(outcome) == result_code::not_found) {
            end(record, member_state::stopped,
                "the task runtime has lost the task");
        }
    }
}

void task_supervisor::stop_due_tasks()
{
    auto const due_members = select_members([](member_record const& record,
                                               core::time_point now) {
        return record.phase == member_phase::stopping && now >= record.stop_at;
    });
    for (auto const& [key, task_id] : due_members) {
        auto const outcome = runtime_.stop(task_id);
        // The next poll_tasks() reads the checkpoint and confirms the end.
        if (!is_ok(outcome)) {
            core::log(core::log_level::warning,
                      "stop request to the task runtime failed",
                      {{"task", task_id}, {"fault", failure(outcome).message}});
        }
    }
}

void task_supervisor::poll_tasks()
{
    auto const active_members = select_members(
        [](member_record const& record, core::time_point /*now*/) {
            return record.holds_lease();
        });
    if (active_members.empty())
        return;
    auto const polled_at = clock_.now();
    auto const listed = runtime_.tasks();
    std::lock_guard const lock(mutex_);
    for (auto const& member : active_members) {
        auto const& task_id = member.second;
        auto const found = members_.find(member.first);
        if (found == members_.end() || !found->second.holds_lease())
            continue;
        auto& record = found->second;
        if (!is_ok(listed)) {
            // If the runtime does not answer, the task counts as ended two
            // lease lengths after the last renewal was requested. The second
            // lease length covers the time that the renewal took to arrive.
            if (record.phase == member_phase::stopping &&
                polled_at - record.renewed_at >= 2 * options_.lease)
                end(record, record.end_state, record.detail);
            continue;
        }
        auto const& tasks = value(listed);
        auto const report =
            std::find_if(tasks.begin(), tasks.end(), [&](auto const& task) {
                return task.task_id == task_id;
            });
        apply_report(record, report == tasks.end() ? nullptr : &*report,
                     polled_at);
    }
}

void task_supervisor::apply_report(member_record& record,
                                   platform::task_report const* report,
                                   core::time_point polled_at)
{
    if (report == nullptr) {
        // A start request that is still in transit may create the task later,
        // so a missing task counts as ended only after a full lease length.
        if (polled_at - record.started_at >= options_.lease)
            end(record, record.end_state,
                record.detail.empty()
                    ? "the task runtime does not list the task"
                    : record.detail);
        return;
    }
    if (!report->checkpoint.empty())
        record.checkpoint = report->checkpoint;
    switch (report->state) {
    case platform::task_state::running:
        return;
    case platform::task_state::finished:
        record.output = report->output;
        end(record, member_state::finished, report->detail);
        return;
    case platform::task_state::failed:
        end(record, member_state::failed, report->detail);
        return;
    case platform::task_state::stopped:
        end(record, record.end_state, record.detail);
        return;
    case platform::task_state::lease_expired:
        end(record, record.end_state, "the lease expired");
        return;
    }
}

void task_supervisor::end(member_record& record, member_state state,
                          std::string const& detail)
{
    if (record.phase == member_phase::ended)
        return;
    record.phase = member_phase::ended;
    record.end_state = state;
    record.detail = detail;
    record.ended_at = clock_.now();
    // After a success other members of the attempt may still be started here.
    if (state != member_state::finished)
        stopped_attempts_.add(record.command.job_id, record.command.attempt,
                              record.ended_at);
}

} // namespace sequoiaroute::workers
