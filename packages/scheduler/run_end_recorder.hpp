#pragma once

#include "scheduler/assignment_index.hpp"
#include "scheduler/change_list.hpp"
#include "scheduler/run_lessons.hpp"

namespace sequoiaroute::scheduler {

/// Takes note of the ends of runs: what they mean for their task, its gang and
/// its job, and what they say of the worker.
class run_end_recorder
{
public:
    using assignments = std::map<jobs::task_id, assignment>;

    /// @param changes receives what has to be stored
    /// @param index the runs by agent
    /// @param lessons learn from the ends
    run_end_recorder(change_list& changes, assignment_index& index,
                     run_lessons& lessons)
        : changes_(changes), index_(index), lessons_(lessons)
    {
    }

    /// Removes a run that has ended.
    /// @param job the job of the run
    /// @param run the run
    /// @param end how it ended
    /// @param checkpoint the progress that was saved, empty for none
    /// @param now the current time
    void record(open_job& job, assignments::iterator run, jobs::run_end end,
                std::string const& checkpoint, core::time_point now);

private:
    void mark_done(open_job& job, jobs::task_id const& task);
    void record_failure(open_job& job, jobs::run_order const& order,
                        core::time_point now);
    void break_gang(open_job& job, jobs::run_id const& ended, jobs::run_end end,
                    core::time_point now);

    change_list& changes_;
    assignment_index& index_;
    run_lessons& lessons_;
};

} // namespace sequoiaroute::scheduler
