#include "decider/submission.hpp"

#include "core/identifier.hpp"

#include <chrono>

#include <fmt/format.h>

namespace sequoiaroute::decider {

namespace {

core::error bad_request_error(std::string message)
{
    return {core::result_code::bad_request, std::move(message)};
}

/// @return a digest over every field but the id, which distinguishes a repeated
///         submission from a different one under the same id
std::string digest_of(policy::job_submission const& submission)
{
    core::json const fields{submission.customer,
                            submission.kind,
                            submission.member,
                            submission.members,
                            submission.within,
                            submission.is_urgent,
                            submission.is_unrepeatable,
                            submission.command,
                            core::digest(submission.input),
                            submission.declared_run_time_ms,
                            submission.deadline_ms};
    return core::digest(fields.dump());
}

std::int64_t unix_time_ms()
{
    return std::chrono::duration_cast<core::duration>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

core::status check_submission(policy::job_submission const& submission,
                              int members_limit)
{
    if (!core::is_identifier(submission.job_id))
        return bad_request_error(
            "job_id must be 1 to 64 letters, digits, '-', '_' or '.'");
    if (submission.kind.empty())
        return bad_request_error("kind is missing");
    if (submission.command.empty())
        return bad_request_error("command is missing");
    if (submission.members < 1 || submission.members > members_limit)
        return bad_request_error(
            fmt::format("members must be 1 to {}", members_limit));
    auto const& member = submission.member;
    if (member.cores < 0 || member.memory_megabytes < 0 ||
        member.accelerators < 0)
        return bad_request_error(
            "cores, memory_megabytes and accelerators must not be "
            "negative");
    if (submission.declared_run_time_ms < 0 || submission.deadline_ms < 0)
        return bad_request_error("times must not be negative");
    return core::success();
}

policy::job_record record_from(policy::job_submission const& submission)
{
    policy::job_record record;
    record.job_id = submission.job_id;
    record.customer = submission.customer;
    record.kind = submission.kind;
    record.member = submission.member;
    record.members = submission.members;
    record.within = submission.within;
    record.is_urgent = submission.is_urgent;
    record.is_unrepeatable = submission.is_unrepeatable;
    record.command = submission.command;
    record.submission_digest = digest_of(submission);
    record.declared_run_time_ms = submission.declared_run_time_ms;
    record.submitted_at_unix_ms = unix_time_ms();
    record.deadline_ms = submission.deadline_ms;
    if (!submission.input.empty())
        record.input_key = fmt::format("inputs/jobs/{}/{}", submission.job_id,
                                       core::digest(submission.input));
    return record;
}

policy::job_view view_of(policy::job_submission const& submission)
{
    policy::job_view view;
    view.job_id = submission.job_id;
    view.customer = submission.customer;
    view.kind = submission.kind;
    view.member = submission.member;
    view.members = submission.members;
    view.within = submission.within;
    return view;
}

} // namespace sequoiaroute::decider
