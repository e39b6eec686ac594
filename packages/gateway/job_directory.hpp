#pragma once

#include "jobs/progress.hpp"
#include "rows/row_store.hpp"

#include <map>
#include <optional>
#include <string>

namespace sequoiaroute::gateway {

/// What an entry knows of all jobs, from its copy of the work table.
class job_directory
{
public:
    struct known_job
    {
        std::string queue;
        bool is_submitted = false;
        bool is_repeated = false;
        bool is_cancelled = false;
        bool has_started = false;
        jobs::job_state state = jobs::job_state::queued;
    };

    /// Takes note of a changed row.
    void observe(rows::row const& changed);

    /// @return the job, if it was accepted
    std::optional<known_job> find(std::string const& job_id) const;

    /// @return the number of jobs of a queue, those with set times left out,
    ///         of which no task has started
    std::size_t pending(std::string const& queue) const;

private:
    void observe_submission(std::string const& id, rows::row const& changed);
    void observe_progress(std::string const& id, rows::row const& changed);
    void erase_if_unknown(std::string const& id);

    std::map<std::string, known_job> jobs_;
};

} // namespace sequoiaroute::gateway
