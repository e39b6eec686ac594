#pragma once

#include "jobs/job_spec.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiaroute::jobs {

enum class job_state
{
    queued,
    running,
    completed,
    failed,
    cancelled,
};

/// @return the name of a state in rows and messages, which must not change
std::string_view name(job_state state);

/// @return whether the state of a job can no longer change
constexpr bool is_final(job_state state)
{
    return state == job_state::completed || state == job_state::failed ||
           state == job_state::cancelled;
}

/// The recorded progress of one task.
struct task_progress
{
    bool is_done = false;
    std::int32_t failures = 0; ///< number of failed runs
    std::int64_t last_run = 0; ///< number of the last ordered run; 0 for none
    std::string checkpoint;    ///< the newest one; empty if there is none
    /// The numbers of the latest runs that were taken as lost because nothing
    /// was heard of them. How such a run ended may become known later.
    std::vector<std::int64_t> unconfirmed_runs = {};
};

/// The most runs of a task whose end may still become known.
constexpr std::size_t max_unconfirmed_runs = 8;

/// The recorded progress of one occurrence of a job.
struct occurrence_progress
{
    /// The tasks, by step and index.
    std::vector<std::vector<task_progress>> steps;
    /// The numbers of the gang runs whose failure has been counted, by step, so
    /// that several failed members count as one attempt.
    std::map<std::int32_t, std::set<std::int64_t>> failed_gang_runs;
};

/// The recorded progress of a job.
struct job_progress
{
    job_state state = job_state::queued;
    bool has_started = false;
    std::set<std::int64_t> finished_occurrences;
    /// Occurrences that have started and are not finished, by number.
    std::map<std::int64_t, occurrence_progress> occurrences;
};

} // namespace sequoiaroute::jobs
