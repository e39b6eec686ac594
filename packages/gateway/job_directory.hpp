#pragma once

#include "jobs/progress.hpp"
#include "rows/row_store.hpp"

#include <map>
#include <optional>
#include <string>

namespace sequoiaroute::gateway {

/// An index of all jobs by id, derived from this entry's replica of the work
/// table. The rows of a job may arrive in any order.
class job_directory
{
public:
    /// The current state of a job.
    struct job_summary
    {
        std::string queue;
        bool is_submitted = false; ///< the submission itself has been seen
        bool is_repeated = false;  ///< the job runs at scheduled times
        bool is_cancelled = false;
        bool has_started = false;
        jobs::job_state state = jobs::job_state::queued;
    };

    /// Applies a row of the work table that was written or removed.
    void observe(rows::row const& changed);

    /// @return the job, or nothing if its submission has not been seen
    std::optional<job_summary> find(std::string const& job_id) const;

    /// @return the length of a queue: its jobs of which no task has started,
    ///         without repeated, cancelled and finished ones
    std::size_t pending_job_count(std::string const& queue) const;

private:
    void observe_submission(std::string const& id, rows::row const& changed);
    void observe_progress(std::string const& id, rows::row const& changed);
    void erase_if_empty(std::string const& id);

    std::map<std::string, job_summary> jobs_;
};

} // namespace sequoiaroute::gateway
