#pragma once

#include "scheduler/assignment_index.hpp"
#include "scheduler/change_list.hpp"
#include "scheduler/run_statistics.hpp"

namespace sequoiaroute::scheduler {

/// Applies the end of a run to its task, gang and job, and to the statistics of
/// its worker.
class run_end_recorder
{
public:
    using assignments = std::map<jobs::task_id, assignment>;

    /// @param changes receives the changes to store
    /// @param index the runs by agent; ended runs are removed
    /// @param statistics updated with each end
    run_end_recorder(change_list& changes, assignment_index& index,
                     run_statistics& statistics)
        : changes_(changes), index_(index), statistics_(statistics)
    {
    }

    /// Removes a run that has ended, and its order. Marks its task as done, or
    /// counts the failure and fails the job after its last attempt.
    /// @param job the job of the run
    /// @param run the run, in job.assignments; invalid afterwards
    /// @param end how it ended
    /// @param checkpoint the checkpoint that it saved; empty for none
    /// @param now the current time
    void record(open_job& job, assignments::iterator run, jobs::run_end end,
                std::string const& checkpoint, core::time_point now);

    /// Records how a run ended that was recorded as lost or lapsed before. Has
    /// no effect on other runs, so the same end may be reported again.
    /// @param job the job of the run
    /// @param agent the agent that reports the end
    /// @param late the end
    /// @param now the current time
    /// @return whether the end was recorded
    bool record_late(open_job& job, std::string const& agent,
                     jobs::ended_run const& late, core::time_point now);

private:
    void mark_done(open_job& job, jobs::task_id const& task);
    void record_failure(open_job& job, std::string const& agent,
                        jobs::run_id const& failed, core::time_point now);
    void mark_gang_broken(open_job& job, jobs::run_id const& ended,
                          core::time_point now);

    change_list& changes_;
    assignment_index& index_;
    run_statistics& statistics_;
};

} // namespace sequoiaroute::scheduler
