#include "gateway/job_directory.hpp"

#include "jobs/row_codec.hpp"
#include "rows/row_layout.hpp"
#include "rows/unreadable_row.hpp"

#include <algorithm>

namespace sequoiaroute::gateway {

namespace {

/// @return the job id in a row key, or nothing if the key lacks the prefix
std::optional<std::string> id_from_key(std::string_view prefix,
                                       std::string const& key)
{
    if (!key.starts_with(prefix))
        return std::nullopt;
    return key.substr(prefix.size());
}

} // namespace

void job_directory::observe(rows::row const& changed)
{
    auto const& key = changed.key.key;
    if (auto const id = id_from_key(rows::layout::job_prefix, key)) {
        observe_submission(*id, changed);
    } else if (auto const id =
                   id_from_key(rows::layout::progress_prefix, key)) {
        observe_progress(*id, changed);
    } else if (auto const id = id_from_key(rows::layout::cancel_prefix, key)) {
        jobs_[*id].is_cancelled = !changed.is_removed;
        erase_if_empty(*id);
    }
}

void job_directory::observe_submission(std::string const& id,
                                       rows::row const& changed)
{
    auto& job = jobs_[id];
    job.is_submitted = false;
    if (!changed.is_removed) {
        auto const submission = jobs::decode_submission(changed.value);
        if (core::is_ok(submission)) {
            job.is_submitted = true;
            job.queue = core::value(submission).parameters.queue;
            job.is_repeated = core::value(submission).spec.is_repeated();
        } else {
            rows::log_unreadable_row(changed, core::failure(submission));
        }
    }
    erase_if_empty(id);
}

void job_directory::observe_progress(std::string const& id,
                                     rows::row const& changed)
{
    auto& job = jobs_[id];
    job.has_started = false;
    job.state = jobs::job_state::queued;
    if (!changed.is_removed) {
        auto const progress = jobs::decode_progress(changed.value);
        if (core::is_ok(progress)) {
            job.has_started = core::value(progress).has_started;
            job.state = core::value(progress).state;
        } else {
            rows::log_unreadable_row(changed, core::failure(progress));
        }
    }
    erase_if_empty(id);
}

void job_directory::erase_if_empty(std::string const& id)
{
    auto const& job = jobs_[id];
    if (!job.is_submitted && !job.is_cancelled && !job.has_started &&
        job.state == jobs::job_state::queued)
        jobs_.erase(id);
}

std::optional<job_directory::job_summary>
job_directory::find(std::string const& job_id) const
{
    auto const found = jobs_.find(job_id);
    if (found == jobs_.end() || !found->second.is_submitted)
        return std::nullopt;
    return found->second;
}

std::size_t job_directory::pending_job_count(std::string const& queue) const
{
    return static_cast<std::size_t>(
        std::count_if(jobs_.begin(), jobs_.end(), [&](auto const& item) {
            auto const& job = item.second;
            return job.is_submitted && job.queue == queue && !job.is_repeated &&
                   !job.has_started && !job.is_cancelled &&
                   !jobs::is_final(job.state);
        }));
}

} // namespace sequoiaroute::gateway
