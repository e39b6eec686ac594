#include "policy/job_transitions.hpp"

#include <set>

#include <fmt/format.h>

namespace sequoiaroute::policy::job_transitions {

namespace {

core::error invalid_transition(job_record const& record,
                               std::string_view change)
{
    return {core::result_code::conflict,
            fmt::format("job {} cannot {} in state {}", record.job_id, change,
                        core::json(record.state).get<std::string>())};
}

job_record with_final_state(job_record record, job_state state,
                            core::result_code code, std::string reason)
{
    record.state = state;
    record.code = static_cast<std::uint16_t>(code);
    record.reason = std::move(reason);
    return record;
}

job_record cancelled(job_record const& record)
{
    return with_final_state(record, job_state::cancelled,
                            core::result_code::cancelled,
                            "cancelled on request");
}

job_record requeued(job_record record)
{
    record.state = job_state::queued;
    record.placed.clear();
    record.is_borrowing = false;
    record.code = 0;
    return record;
}

std::size_t count_distinct(std::vector<std::string> const& workers)
{
    return std::set<std::string>(workers.begin(), workers.end()).size();
}

job_record end_failed_attempt(job_record const& record)
{
    if (record.is_unrepeatable)
        return with_final_state(record, job_state::failed,
                                core::result_code::execution_failed,
                                record.reason);
    if (count_distinct(record.failed_workers) >= distinct_failed_workers_limit)
        return with_final_state(
            record, job_state::fails_everywhere,
            core::result_code::job_fails_everywhere,
            fmt::format("failed on {} different workers; last: {}",
                        count_distinct(record.failed_workers), record.reason));
    if (record.failed_workers.size() >= failed_attempts_limit)
        return with_final_state(
            record, job_state::failed, core::result_code::execution_failed,
            fmt::format("failed {} times; last: {}",
                        record.failed_workers.size(), record.reason));
    return requeued(record);
}

} // namespace

change reserve(job_record const& record, std::uint64_t term,
               std::vector<placed_member> placed, bool is_borrowing)
{
    if (record.state != job_state::queued || record.is_cancel_requested)
        return invalid_transition(record, "be placed");
    auto next = record;
    next.state = job_state::reserving;
    next.attempt = record.attempt + 1;
    next.term = term;
    next.placed = std::move(placed);
    next.is_borrowing = is_borrowing;
    next.code = 0;
    next.reason.clear();
    return next;
}

change commit(job_record const& record)
{
    if (record.state != job_state::reserving || record.is_cancel_requested)
        return invalid_transition(record, "be started");
    auto next = record;
    next.state = job_state::running;
    return next;
}

change abandon(job_record const& record)
{
    if (record.state != job_state::reserving)
        return invalid_transition(record, "abandon its reservation");
    if (record.is_cancel_requested)
        return cancelled(record);
    auto next = requeued(record);
    next.attempt = record.attempt + 1;
    return next;
}

change stop(job_record const& record, core::result_code code,
            std::string reason, std::string_view failed_worker)
{
    if (record.state != job_state::running)
        return invalid_transition(record, "be stopped");
    auto next = record;
    next.state = job_state::stopping;
    next.code = static_cast<std::uint16_t>(code);
    next.reason = std::move(reason);
    if (!failed_worker.empty())
        next.failed_workers.emplace_back(failed_worker);
    return next;
}

change end_attempt(job_record const& record)
{
    if (record.state != job_state::stopping)
        return invalid_transition(record, "end its attempt");
    if (record.is_cancel_requested)
        return cancelled(record);
    auto const code = static_cast<core::result_code>(record.code);
    if (code == core::result_code::execution_failed)
        return end_failed_attempt(record);
    if (record.is_unrepeatable)
        return with_final_state(record, job_state::outcome_unknown,
                                core::result_code::outcome_unknown,
                                record.reason);
    return requeued(record);
}

change finish(job_record const& record, std::uint64_t attempt,
              std::string result_key)
{
    bool const is_active = record.state == job_state::running ||
                           record.state == job_state::stopping;
    if (!is_active || record.attempt != attempt)
        return invalid_transition(record, "finish this attempt");
    auto next = with_final_state(record, job_state::finished,
                                 core::result_code::ok, "");
    next.result_key = std::move(result_key);
    return next;
}

change cancel(job_record const& record)
{
    if (is_final(record.state))
        return invalid_transition(record, "be cancelled");
    if (record.state == job_state::queued)
        return cancelled(record);
    auto next = record;
    next.is_cancel_requested = true;
    return next;
}

change reject(job_record const& record, std::string reason)
{
    if (record.state != job_state::queued)
        return invalid_transition(record, "be rejected");
    return with_final_state(record, job_state::rejected,
                            core::result_code::job_never_fits,
                            std::move(reason));
}

} // namespace sequoiaroute::policy::job_transitions
