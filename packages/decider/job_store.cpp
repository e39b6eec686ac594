#include "decider/job_store.hpp"

#include "core/log.hpp"

#include <array>

#include <fmt/format.h>

namespace sequoiaroute::decider {

namespace {

using core::result_code;

constexpr std::string_view jobs_prefix = "jobs/";

/// A write that conflicts with a renewal of the lease is sent again with the
/// new lease version. Renewals are 0.5 s apart, so a few tries suffice.
constexpr int max_commit_tries = 4;

/// @return the error of a write whose commit did not succeed: write_unknown if
///         an earlier try may have taken effect, else store_unavailable
core::error incomplete_write_error(job_write const& write,
                                   std::string_view message)
{
    return {write.may_have_written ? result_code::write_unknown
                                   : result_code::store_unavailable,
            fmt::format("job {}: {}", write.next.job_id, message)};
}

} // namespace

std::string job_key(std::string_view job_id)
{
    return fmt::format("{}{}", jobs_prefix, job_id);
}

core::result<stored_job> parse_job(platform::row row)
{
    SEQUOIA_TRY_INTO(auto record,
                     core::message_from<policy::job_record>(row.value));
    return stored_job{std::move(record), std::move(row)};
}

job_store::job_store(platform::recovering_writer& rows, decider_lease& lease)
    : rows_(rows), lease_(lease)
{
}

core::result<stored_job> job_store::read(std::string_view job_id)
{
    SEQUOIA_TRY_INTO(auto row, rows_.read(job_key(job_id)));
    if (row.version == 0)
        return core::error{result_code::unknown_job,
                           fmt::format("there is no job {}", job_id)};
    return parse_job(std::move(row));
}

core::result<std::vector<stored_job>> job_store::scan_open_jobs()
{
    SEQUOIA_TRY_INTO(auto rows, rows_.scan(jobs_prefix));
    std::vector<stored_job> open;
    for (auto& row : rows) {
        auto const key = row.key;
        auto job = parse_job(std::move(row));
        if (!core::is_ok(job))
            core::log(core::log_level::error, "cannot read a job row",
                      {{"row", key}, {"error", core::failure(job).message}});
        else if (!policy::is_final(core::value(job).record.state))
            open.push_back(std::move(core::value(job)));
    }
    return open;
}

core::status job_store::commit_once(job_write& write,
                                    platform::row_condition const& fence)
{
    std::array const conditions{
        fence, platform::row_condition{write.base.key, write.base.version}};
    platform::row_write const change{write.base.key, write.next};
    auto outcome = rows_.write(conditions, {&change, 1});
    auto const code = core::code_of(outcome);
    if (code == result_code::ok || code == result_code::conflict)
        return outcome;
    if (code != result_code::store_unavailable)
        write.may_have_written = true;
    return incomplete_write_error(write, core::failure(outcome).message);
}

core::status job_store::classify_conflict(job_write const& write)
{
    auto const fence = lease_.refresh_fence();
    if (core::code_of(fence) == result_code::stale_term)
        return core::failure(fence);
    if (!core::is_ok(fence))
        return incomplete_write_error(write, core::failure(fence).message);
    auto const row = rows_.read(write.base.key);
    if (!core::is_ok(row))
        return incomplete_write_error(write, core::failure(row).message);
    if (core::value(row).version != write.base.version)
        return core::error{result_code::conflict,
                           fmt::format("row {} has changed", write.base.key)};
    return core::success();
}

core::status job_store::commit(job_write& write)
{
    for (int tries = 0; tries < max_commit_tries; ++tries) {
        auto const fence = lease_.fence();
        if (!fence)
            return incomplete_write_error(write,
                                          "the decider lease is not confirmed");
        auto outcome = commit_once(write, *fence);
        if (core::code_of(outcome) != result_code::conflict)
            return outcome;
        // Continues if only the lease was renewed and the job's row is
        // unchanged.
        SEQUOIA_TRY(classify_conflict(write));
    }
    return incomplete_write_error(write,
                                  "the lease row changed during every try");
}

} // namespace sequoiaroute::decider
