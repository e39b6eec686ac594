#include "decider/table_job_service.hpp"

#include "core/identifier.hpp"
#include "core/log.hpp"
#include "decider/submission.hpp"
#include "policy/gang_fit.hpp"
#include "policy/job_status_text.hpp"
#include "policy/job_transitions.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::decider {

namespace {

using core::result_code;
using policy::job_state;

constexpr std::string_view jobs_prefix = "jobs/";

/// How often a cancellation is tried while other writes change the row.
constexpr int max_cancel_tries = 5;

core::error unknown_job_error(std::string_view job_id)
{
    return {result_code::unknown_job,
            fmt::format("there is no job {}", job_id)};
}

/// @return the error of a submission whose write may have taken effect
core::error unknown_outcome_error(std::string_view job_id)
{
    return {result_code::write_unknown,
            fmt::format("job {} may have been accepted; ask for its status or "
                        "submit it again under the same id",
                        job_id)};
}

} // namespace

table_job_service::table_job_service(platform::recovering_writer& rows,
                                     platform::object_store& objects,
                                     policy::rules_provider& rules,
                                     targets::target_directory& directory,
                                     decider_client& client,
                                     core::clock const& clock)
    : rows_(rows), objects_(objects), rules_(rules), directory_(directory),
      decider_(client), clock_(clock), created_at_(clock.now())
{
}

core::result<job_status>
table_job_service::submit(policy::job_submission const& submission)
{
    auto submission_with_id = submission;
    if (submission_with_id.job_id.empty())
        submission_with_id.job_id = core::make_identifier();
    SEQUOIA_TRY(check_submission(submission_with_id, members_limit));
    auto const record = record_from(submission_with_id);
    auto existing = rows_.read(job_key(record.job_id));
    if (!core::is_ok(existing))
        return not_accepted_error(record.job_id, core::failure(existing));
    if (core::value(existing).version != 0)
        return answer_resubmission(std::move(core::value(existing)), record);
    SEQUOIA_TRY(check_admission(submission_with_id));
    SEQUOIA_TRY(store_input(record, submission_with_id.input));
    return create(record);
}

core::result<job_status>
table_job_service::answer_resubmission(platform::row row,
                                       policy::job_record const& record)
{
    // A read after a conflict may be stale and still show the row as absent.
    if (row.version == 0)
        return unknown_outcome_error(record.job_id);
    SEQUOIA_TRY_INTO(auto job, parse_job(std::move(row)));
    if (job.record.customer != record.customer ||
        job.record.submission_digest != record.submission_digest)
        return core::error{
            result_code::request_id_reused,
            fmt::format("job id {} belongs to another submission",
                        record.job_id)};
    return status_of(std::move(job.record));
}

core::status
table_job_service::write_if_unchanged(platform::row const& row,
                                      policy::job_record const& next)
{
    platform::row_condition const condition{row.key, row.version};
    platform::row_write const write{row.key, next};
    return rows_.write({&condition, 1}, {&write, 1});
}

core::error table_job_service::not_accepted_error(std::string const& job_id,
                                                  core::error const& cause)
{
    std::lock_guard const lock(mutex_);
    // An earlier try whose answer was lost may have created the job, so it must
    // not be reported as not run.
    if (unknown_outcome_job_ids_.contains(job_id))
        return unknown_outcome_error(job_id);
    return {result_code::not_run_store_unavailable,
            "the job was not accepted: " + cause.message};
}

core::status
table_job_service::check_admission(policy::job_submission const& submission)
{
    SEQUOIA_TRY(rules_.admission_state());
    SEQUOIA_TRY(check_fit(submission));
    return check_queue_limit(submission.customer);
}

core::status
table_job_service::check_fit(policy::job_submission const& submission)
{
    if (clock_.now() - created_at_ < fleet_discovery_time)
        return core::success();
    std::vector<policy::worker_view> workers;
    for (auto const& target : directory_.targets(peers::target_kind::worker)) {
        auto const& report = target.report;
        workers.push_back({report.target_id, report.data_centre, report.rack,
                           report.total, report.total, true});
    }
    if (workers.empty())
        return core::success();
    auto const reason =
        policy::infeasibility_reason(view_of(submission), workers);
    if (!reason)
        return core::success();
    return core::error{result_code::job_never_fits, "the job " + *reason};
}

core::status table_job_service::check_queue_limit(std::string const& customer)
{
    auto const rules = rules_.rules();
    auto const found = rules->customers.find(customer);
    auto const limit = found == rules->customers.end()
                           ? policy::customer_limits{}.queued_jobs
                           : found->second.limits.queued_jobs;
    std::lock_guard const lock(mutex_);
    if (!has_queue_count_ ||
        clock_.now() - queue_counted_at_ >= queue_count_lifetime) {
        auto const rows = rows_.scan(jobs_prefix);
        if (!core::is_ok(rows))
            return core::error{result_code::not_run_store_unavailable,
                               core::failure(rows).message};
        queued_job_counts_.clear();
        for (auto const& row : core::value(rows)) {
            auto const job = parse_job(row);
            if (core::is_ok(job) &&
                core::value(job).record.state == job_state::queued)
                ++queued_job_counts_[core::value(job).record.customer];
        }
        has_queue_count_ = true;
        queue_counted_at_ = clock_.now();
    }
    if (queued_job_counts_[customer] < limit)
        return core::success();
    return core::error{
        result_code::limit_exceeded_not_run,
        fmt::format("customer {} has {} queued jobs; the limit is {}", customer,
                    queued_job_counts_[customer], limit)};
}

core::status table_job_service::store_input(policy::job_record const& record,
                                            std::string const& input)
{
    if (record.input_key.empty())
        return core::success();
    auto stored = objects_.put(record.input_key, input);
    if (core::is_ok(stored))
        return stored;
    // The job does not exist until its row does, whether or not the object was
    // stored.
    return not_accepted_error(record.job_id, core::failure(stored));
}

core::result<job_status>
table_job_service::create(policy::job_record const& record)
{
    platform::row const absent{job_key(record.job_id), 0, {}};
    auto const outcome = write_if_unchanged(absent, record);
    auto const code = core::code_of(outcome);
    if (code == result_code::conflict) {
        SEQUOIA_TRY_INTO(auto row, rows_.read(absent.key));
        return answer_resubmission(std::move(row), record);
    }
    if (code == result_code::store_unavailable)
        return not_accepted_error(record.job_id, core::failure(outcome));
    if (code != result_code::ok) {
        std::lock_guard const lock(mutex_);
        unknown_outcome_job_ids_.insert(record.job_id);
        return unknown_outcome_error(record.job_id);
    }
    {
        std::lock_guard const lock(mutex_);
        ++queued_job_counts_[record.customer];
        unknown_outcome_job_ids_.erase(record.job_id);
    }
    decider_.notify_change(record.job_id);
    return job_status{record, policy::job_status_text(record, ""), ""};
}

job_status table_job_service::status_of(policy::job_record record)
{
    auto const note = record.state == job_state::queued
                          ? decider_.query_waiting_note(record.job_id)
                          : std::string{};
    auto text = policy::job_status_text(record, note);
    return {std::move(record), std::move(text), ""};
}

core::result<stored_job> table_job_service::read(std::string_view customer,
                                                 std::string_view job_id)
{
    SEQUOIA_TRY_INTO(auto row, rows_.read(job_key(job_id)));
    if (row.version == 0)
        return unknown_job_error(job_id);
    SEQUOIA_TRY_INTO(auto job, parse_job(std::move(row)));
    if (job.record.customer != customer)
        return unknown_job_error(job_id);
    return job;
}

core::result<job_status> table_job_service::status(std::string_view customer,
                                                   std::string_view job_id)
{
    SEQUOIA_TRY_INTO(auto job, read(customer, job_id));
    auto status = status_of(std::move(job.record));
    if (status.record.state == job_state::finished)
        status.result = fetch_result(status);
    return status;
}

std::string table_job_service::fetch_result(job_status& status)
{
    auto fetched = objects_.fetch(status.record.result_key);
    if (core::is_ok(fetched))
        return core::value(std::move(fetched));
    status.text += fmt::format("; it cannot be read now ({})",
                               core::name(core::failure(fetched).code));
    return {};
}

core::result<std::vector<job_status>>
table_job_service::list(std::string_view customer)
{
    SEQUOIA_TRY_INTO(auto rows, rows_.scan(jobs_prefix));
    std::vector<job_status> open;
    for (auto& row : rows) {
        auto job = parse_job(std::move(row));
        if (!core::is_ok(job))
            continue;
        auto& record = core::value(job).record;
        if (record.customer != customer || policy::is_final(record.state))
            continue;
        // Waiting notes are left out, because each would take a message to the
        // decider; status() has them.
        auto text = policy::job_status_text(record, "");
        open.push_back({std::move(record), std::move(text), ""});
    }
    return open;
}

core::result<job_status> table_job_service::cancel(std::string_view customer,
                                                   std::string_view job_id)
{
    for (int tries = 0; tries < max_cancel_tries; ++tries) {
        SEQUOIA_TRY_INTO(auto const job, read(customer, job_id));
        if (policy::is_final(job.record.state) ||
            job.record.is_cancel_requested)
            return status_of(job.record);
        SEQUOIA_TRY_INTO(auto const next,
                         policy::job_transitions::cancel(job.record));
        auto const outcome = write_if_unchanged(job.row, next);
        if (core::code_of(outcome) == result_code::conflict)
            continue;
        if (!core::is_ok(outcome))
            return core::failure(outcome);
        decider_.notify_change(job_id);
        return status_of(next);
    }
    return core::error{
        result_code::conflict,
        fmt::format("job {} changed during every try to cancel it; send the "
                    "cancellation again",
                    job_id)};
}

core::result<std::vector<stored_job>>
table_job_service::queued_jobs(std::string_view customer)
{
    SEQUOIA_TRY_INTO(auto rows, rows_.scan(jobs_prefix));
    std::vector<stored_job> queued;
    for (auto& row : rows) {
        auto job = parse_job(std::move(row));
        if (core::is_ok(job) && core::value(job).record.customer == customer &&
            core::value(job).record.state == job_state::queued)
            queued.push_back(std::move(core::value(job)));
    }
    return queued;
}

core::result<std::size_t> table_job_service::cancel_one_queued(stored_job job)
{
    for (int tries = 0; tries < max_cancel_tries; ++tries) {
        if (job.record.state != job_state::queued)
            return std::size_t{0};
        SEQUOIA_TRY_INTO(auto const next,
                         policy::job_transitions::cancel(job.record));
        auto const outcome = write_if_unchanged(job.row, next);
        if (core::is_ok(outcome))
            return std::size_t{1};
        if (core::code_of(outcome) != result_code::conflict)
            return core::failure(outcome);
        SEQUOIA_TRY_INTO(job, read(job.record.customer, job.record.job_id));
    }
    return std::size_t{0};
}

core::result<std::size_t>
table_job_service::cancel_batch(std::span<stored_job> jobs)
{
    std::vector<platform::row_condition> conditions;
    std::vector<platform::row_write> writes;
    for (auto const& job : jobs) {
        SEQUOIA_TRY_INTO(auto const next,
                         policy::job_transitions::cancel(job.record));
        conditions.push_back({job.row.key, job.row.version});
        writes.push_back({job.row.key, next});
    }
    auto const outcome = rows_.write(conditions, writes);
    if (core::is_ok(outcome))
        return jobs.size();
    if (core::code_of(outcome) != result_code::conflict)
        return core::failure(outcome);
    // Another write changed at least one job of the batch. Bisection finds it
    // in a few transactions and still writes the other jobs together.
    if (jobs.size() == 1)
        return cancel_one_queued(jobs.front());
    auto const half = jobs.size() / 2;
    SEQUOIA_TRY_INTO(auto const first, cancel_batch(jobs.first(half)));
    SEQUOIA_TRY_INTO(auto const second, cancel_batch(jobs.subspan(half)));
    return first + second;
}

core::result<std::size_t>
table_job_service::cancel_queued(std::string_view customer)
{
    SEQUOIA_TRY_INTO(auto queued, queued_jobs(customer));
    std::size_t count = 0;
    std::span<stored_job> remaining(queued);
    while (!remaining.empty()) {
        auto const size = std::min(remaining.size(), rows_per_transaction);
        SEQUOIA_TRY_INTO(auto const cancelled,
                         cancel_batch(remaining.first(size)));
        count += cancelled;
        remaining = remaining.subspan(size);
    }
    if (count > 0)
        decider_.notify_change("");
    return count;
}

} // namespace sequoiaroute::decider
