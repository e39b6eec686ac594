#include "decider/job_registry.hpp"

#include <algorithm>
#include <chrono>

namespace sequoiaroute::decider {

namespace {

/// The largest age that age_of() returns.
constexpr core::duration max_age = std::chrono::hours(24 * 30);

/// @return the time since a job was submitted, by the wall clock. The clocks of
///         different machines may differ, so the age orders the queue, but
///         correctness must not depend on it.
core::duration age_of(policy::job_record const& record)
{
    auto const now = std::chrono::duration_cast<core::duration>(
        std::chrono::system_clock::now().time_since_epoch());
    auto const age = now - core::duration(record.submitted_at_unix_ms);
    return std::clamp(age, core::duration(0), max_age);
}

/// Makes the in-memory state of a job that was read from the table.
job_data make_job_data(stored_job job, bool is_recovery, core::time_point now)
{
    job_data data;
    data.is_recovered = is_recovery;
    data.submitted_at = now - age_of(job.record);
    data.started_at = now;
    data.members.resize(job.record.placed.size());
    data.record = std::move(job.record);
    data.row = std::move(job.row);
    return data;
}

} // namespace

job_registry::job_pointer job_registry::merge(stored_job job, bool is_recovery,
                                              std::uint64_t term)
{
    std::lock_guard const lock(mutex_);
    auto const found = jobs_.find(job.record.job_id);
    if (found == jobs_.end()) {
        auto const job_id = job.record.job_id;
        auto added = std::make_shared<open_job>(
            make_job_data(std::move(job), is_recovery, clock_.now()));
        added->with([term](job_data& data) { data.term = term; });
        return jobs_.emplace(job_id, std::move(added)).first->second;
    }
    found->second->with([&](job_data& data) {
        if (data.row.version != job.row.version)
            data.is_row_stale = true;
    });
    return found->second;
}

job_registry::job_pointer job_registry::find(std::string_view job_id) const
{
    std::lock_guard const lock(mutex_);
    auto const found = jobs_.find(job_id);
    return found == jobs_.end() ? nullptr : found->second;
}

std::vector<job_registry::job_pointer> job_registry::jobs() const
{
    std::lock_guard const lock(mutex_);
    std::vector<job_pointer> jobs;
    jobs.reserve(jobs_.size());
    for (auto const& [job_id, job] : jobs_)
        jobs.push_back(job);
    return jobs;
}

void job_registry::remove(std::string_view job_id)
{
    std::lock_guard const lock(mutex_);
    auto const found = jobs_.find(job_id);
    if (found != jobs_.end())
        jobs_.erase(found);
}

void job_registry::clear()
{
    std::lock_guard const lock(mutex_);
    jobs_.clear();
}

} // namespace sequoiaroute::decider
