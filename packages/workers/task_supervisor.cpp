#include "workers/task_supervisor.hpp"

#include "core/log.hpp"
#include "workers/worker_capacity.hpp"

#include <algorithm>
#include <utility>

namespace sequoiaroute::workers {

namespace {

using core::result_code;
using peers::member_state;

core::error make_refusal(char const* reason)
{
    return {result_code::refused_not_run, reason};
}

platform::task_specification
make_specification(peers::task_command const& command, core::duration lease)
{
    member_key const key{command.job_id, command.attempt, command.member};
    auto const& resources = command.resources;
    return {
        key.task_id(),
        command.customer,
        {resources.cores, resources.memory_megabytes, resources.accelerators},
        command.command,
        command.input_key,
        command.restore_from,
        lease};
}

} // namespace

core::status task_supervisor::check_term(std::uint64_t term)
{
    if (term < highest_term_) {
        return core::error{
            result_code::stale_term,
            "a command of a decider with a higher term was received before"};
    }
    highest_term_ = term;
    return core::success();
}

core::status task_supervisor::check_recovered() const
{
    if (!is_recovering_)
        return core::success();
    return core::error{result_code::unreachable,
                       "the runtime has not listed its tasks yet"};
}

core::status task_supervisor::check_command(peers::task_command const& command)
{
    SEQUOIA_TRY(check_recovered());
    SEQUOIA_TRY(check_term(command.term));
    if (stopped_attempts_.contains(command.job_id, command.attempt))
        return make_refusal("the attempt was stopped");
    return core::success();
}

policy::resources task_supervisor::sum_in_use() const
{
    policy::resources sum;
    for (auto const& [key, record] : members_) {
        if (record.phase != member_phase::ended)
            add(sum, record.command.resources);
    }
    return sum;
}

core::status
task_supervisor::reserve_resources(peers::task_command const& command)
{
    member_key const key{command.job_id, command.attempt, command.member};
    if (members_.contains(key))
        return core::success();
    if (is_leaving_)
        return make_refusal("the worker is leaving");
    bool const has_recovered_task =
        std::any_of(members_.begin(), members_.end(), [](auto const& item) {
            return item.second.is_recovered &&
                   item.second.phase != member_phase::ended;
        });
    if (has_recovered_task)
        return make_refusal(
            "tasks of an earlier agent process are being stopped");
    if (!has_capacity(options_.total, sum_in_use(), command.resources))
        return make_refusal("the resources are not free");
    member_record record;
    record.command = command;
    record.reserved_at = clock_.now();
    members_.emplace(key, std::move(record));
    return core::success();
}

core::status task_supervisor::reserve(peers::task_command const& command)
{
    std::lock_guard const lock(mutex_);
    SEQUOIA_TRY(check_command(command));
    return reserve_resources(command);
}

core::status task_supervisor::start(peers::task_command const& command)
{
    member_key const key{command.job_id, command.attempt, command.member};
    {
        std::lock_guard const lock(mutex_);
        SEQUOIA_TRY(check_recovered());
        SEQUOIA_TRY(check_term(command.term));
        // The repeated start of a task that has finished or may still finish is
        // not refused, because the decider treats a refusal as proof that the
        // task did not run.
        if (auto const found = members_.find(key); found != members_.end()) {
            auto const& record = found->second;
            if (record.phase == member_phase::ended
                    ? record.end_state == member_state::finished
                    : record.phase != member_phase::reserved)
                return core::success();
        }
        SEQUOIA_TRY(check_command(command));
        SEQUOIA_TRY(reserve_resources(command));
        auto& record = members_.at(key);
        if (record.phase != member_phase::reserved)
            return core::success();
        if (is_leaving_) {
            stopped_attempts_.add(command.job_id, command.attempt,
                                  clock_.now());
            members_.erase(key);
            return make_refusal("the worker is leaving");
        }
        record.command = command;
        record.phase = member_phase::starting;
    }
    auto const requested_at = clock_.now();
    auto const outcome =
        runtime_.start(make_specification(command, options_.lease));
    finish_start(key, requested_at, outcome);
    if (is_ok(outcome))
        return core::success();
    return core::error{result_code::execution_failed, failure(outcome).message};
}

void task_supervisor::finish_start(member_key const& key,
                                   core::time_point requested_at,
                                   core::status const& outcome)
{
    std::lock_guard const lock(mutex_);
    auto& record = members_.at(key);
    record.started_at = requested_at;
    record.renewed_at = requested_at;
    record.renew_at = requested_at + options_.renew_period;
    // stop_at is set if a stop arrived during the start.
    auto const must_stop = record.stop_at != core::time_point{};
    record.phase = must_stop ? member_phase::stopping : member_phase::running;
    if (is_ok(outcome))
        return;
    // The task may run although the answer was lost. It is therefore stopped,
    // and its resources stay in use until the runtime confirms that it ended.
    begin_stop(record, member_state::failed, core::duration::zero(),
               failure(outcome).message);
}

void task_supervisor::begin_stop(member_record& record, member_state end_state,
                                 core::duration grace,
                                 std::string const& reason)
{
    auto const stop_at = clock_.now() + grace;
    if (record.phase == member_phase::ended)
        return;
    if (record.phase == member_phase::reserved) {
        members_.erase(record.key());
        return;
    }
    if (record.phase == member_phase::stopping) {
        record.stop_at = std::min(record.stop_at, stop_at);
        return;
    }
    if (record.phase == member_phase::running)
        record.phase = member_phase::stopping;
    record.end_state = end_state;
    record.detail = reason;
    record.stop_at = stop_at;
}

core::result<peers::member_report>
task_supervisor::stop(peers::task_stop const& command)
{
    member_key const key{command.job_id, command.attempt, command.member};
    std::vector<std::string> checkpoints;
    peers::member_report report;
    {
        std::lock_guard const lock(mutex_);
        SEQUOIA_TRY(check_recovered());
        SEQUOIA_TRY(check_term(command.term));
        stopped_attempts_.add(command.job_id, command.attempt, clock_.now());
        auto found = members_.find(key);
        if (found != members_.end()) {
            if (command.wants_checkpoint &&
                found->second.phase == member_phase::running)
                checkpoints.push_back(key.task_id());
            begin_stop(found->second, member_state::stopped,
                       core::duration(command.grace_ms),
                       "stopped by the decider");
            found = members_.find(key);
        }
        if (found != members_.end()) {
            report = make_member_report(found->second);
        } else {
            report = {options_.worker_id,
                      command.job_id,
                      command.attempt,
                      command.member,
                      member_state::stopped,
                      "",
                      "",
                      "not running",
                      0};
        }
    }
    request_checkpoints(checkpoints);
    return report;
}

void task_supervisor::request_checkpoints(
    std::vector<std::string> const& task_ids)
{
    for (auto const& id : task_ids) {
        if (auto const outcome = runtime_.checkpoint(id); !is_ok(outcome)) {
            core::log(core::log_level::warning,
                      "checkpoint request to the task runtime failed",
                      {{"task", id}, {"fault", failure(outcome).message}});
        }
    }
}

void task_supervisor::stop_attempt(std::string const& job_id,
                                   std::uint64_t attempt,
                                   std::string const& reason)
{
    std::lock_guard const lock(mutex_);
    stopped_attempts_.add(job_id, attempt, clock_.now());
    for (auto current = members_.begin(); current != members_.end();) {
        // Advanced first, because begin_stop() erases a reserved member.
        auto& record = (current++)->second;
        if (record.command.job_id == job_id &&
            record.command.attempt == attempt)
            begin_stop(record, member_state::stopped, core::duration::zero(),
                       reason);
    }
}

void task_supervisor::stop_all(core::duration grace, std::string const& reason)
{
    std::vector<std::string> checkpoints;
    {
        std::lock_guard const lock(mutex_);
        for (auto current = members_.begin(); current != members_.end();) {
            auto& record = (current++)->second;
            stopped_attempts_.add(record.command.job_id, record.command.attempt,
                                  clock_.now());
            if (record.phase == member_phase::running)
                checkpoints.push_back(record.key().task_id());
            begin_stop(record, member_state::stopped, grace, reason);
        }
    }
    request_checkpoints(checkpoints);
}

void task_supervisor::set_leaving()
{
    std::lock_guard const lock(mutex_);
    is_leaving_ = true;
}

peers::member_report
task_supervisor::make_member_report(member_record const& record) const
{
    auto const state =
        record.phase == member_phase::reserved ? member_state::reserved
        : record.phase == member_phase::ended  ? record.end_state
                                               : member_state::running;
    auto const until =
        record.phase == member_phase::ended ? record.ended_at : clock_.now();
    auto const run_time = record.started_at == core::time_point{}
                              ? core::duration::zero()
                              : until - record.started_at;
    return {options_.worker_id,
            record.command.job_id,
            record.command.attempt,
            record.command.member,
            state,
            record.output,
            record.checkpoint,
            record.detail,
            run_time.count()};
}

std::vector<peers::member_report> task_supervisor::pending_reports() const
{
    std::lock_guard const lock(mutex_);
    std::vector<peers::member_report> reports;
    for (auto const& [key, record] : members_) {
        if (record.phase == member_phase::ended && !record.is_acknowledged)
            reports.push_back(make_member_report(record));
    }
    return reports;
}

void task_supervisor::acknowledge(peers::member_report const& report)
{
    std::lock_guard const lock(mutex_);
    auto const found =
        members_.find({report.job_id, report.attempt, report.member});
    if (found != members_.end() && found->second.phase == member_phase::ended)
        found->second.is_acknowledged = true;
}

std::vector<member_record> task_supervisor::members() const
{
    std::lock_guard const lock(mutex_);
    std::vector<member_record> records;
    records.reserve(members_.size());
    for (auto const& [key, record] : members_)
        records.push_back(record);
    return records;
}

policy::resources task_supervisor::in_use() const
{
    std::lock_guard const lock(mutex_);
    return sum_in_use();
}

bool task_supervisor::is_idle() const
{
    std::lock_guard const lock(mutex_);
    return std::all_of(members_.begin(), members_.end(), [](auto const& item) {
        return item.second.phase == member_phase::ended;
    });
}

core::json task_supervisor::dump() const
{
    auto member_dumps = core::json::array();
    for (auto const& record : members()) {
        member_dumps.push_back({{"task", record.key().task_id()},
                                {"phase", static_cast<int>(record.phase)},
                                {"state", make_member_report(record).state},
                                {"detail", record.detail}});
    }
    return member_dumps;
}

} // namespace sequoiaroute::workers
