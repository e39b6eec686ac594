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

/// @return the stable name of a state
std::string_view name(job_state state);

/// @return whether a job in this state can change no more
constexpr bool is_final(job_state state)
{
    return state == job_state::completed || state == job_state::failed ||
           state == job_state::cancelled;
}

/// What is recorded of one task.
struct task_progress
{
    bool is_done = false;
    std::int32_t failures = 0;
    std::int64_t last_run = 0; ///< the highest number of a run that was ordered
    std::string checkpoint;    ///< the newest one; empty if there is none
};

/// What is recorded of one pass through the steps of a job, by step and task.
struct occurrence_progress
{
    std::vector<std::vector<task_progress>> steps;
    /// Runs of gangs, by step, whose failure has been counted. Not stored: the
    /// ends of one run arrive close together.
    std::map<std::int32_t, std::set<std::int64_t>> failed_gang_runs;
};

/// What is recorded of a job.
struct job_progress
{
    job_state state = job_state::queued;
    bool has_started = false;
    std::set<std::int64_t> finished_occurrences;
    /// Occurrences that have begun and are not finished.
    std::map<std::int64_t, occurrence_progress> occurrences;
};

} // namespace sequoiaroute::jobs
