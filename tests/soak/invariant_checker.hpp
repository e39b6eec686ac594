#pragma once

#include "core/clock.hpp"
#include "jobs/resources.hpp"
#include "jobs/worker_report.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sequoiaroute::soak {

/// What customers did with a job, and what they were told.
struct submitted_job
{
    std::string payload;
    std::vector<std::int32_t>
        step_sizes; ///< each step waits for the one before
    bool is_gang = false;
    bool was_accepted = false;
    /// An attempt had no answer, or an open one, so the job may be stored.
    bool may_be_stored = false;
    bool was_started = false;
    bool is_cancelled = false;
    core::time_point cancel_confirmed_at{};
    bool is_final = false; ///< a customer was told so
    bool is_completed = false;
    core::time_point completed_at{}; ///< when a customer was told first
};

/// Checks the promises of the system while it runs, from what
/// customers and executors see. Each broken promise is kept as a line
/// of text.
class invariant_checker
{
public:
    explicit invariant_checker(core::clock const& clock) : clock_(clock) {}

    std::map<std::string, submitted_job>& jobs() { return jobs_; }

    /// An executor has begun a run.
    /// @param executor names the life of the executor
    /// @param in_use what its runs take, this one included
    void on_start(std::string const& executor, jobs::run_id const& run,
                  std::string const& payload, jobs::resources const& in_use,
                  jobs::resources const& capacity);

    /// A run has ended on an executor that is up.
    void on_end(jobs::run_id const& run, jobs::run_end how);

    /// An end was acknowledged to the executor.
    void on_acknowledged(jobs::run_id const& run, jobs::run_end how);

    /// A life of an executor is over, with all that ran.
    void on_life_end(std::string const& executor);

    /// A customer was told the state of a job.
    void on_state(std::string const& job, std::string const& state);

    /// A customer was told that a job is not known.
    void on_unknown_job(std::string const& job);

    /// A request that a process had read ended without its whole answer
    /// although the process ended gracefully.
    void on_broken_answer(std::string const& process, std::string const& what);

    /// The logs do not tell the way of a job.
    void on_gap_in_logs(std::string gap) { report(std::move(gap)); }

    /// Checks what must hold when everything has come to rest.
    void check_rest();

    std::vector<std::string> const& broken() const { return broken_; }
    std::size_t start_count() const { return start_count_; }

private:
    struct task_record
    {
        std::map<jobs::run_id, std::string> running; ///< and on which life
        bool is_done = false;                        ///< a run ended as done
        bool is_done_noted = false; ///< and that was acknowledged
        /// Runs that ended as done before another one began.
        std::set<jobs::run_id> repeated;
    };

    void report(std::string text);
    bool is_step_done(std::string const& job, std::int32_t step) const;

    core::clock const& clock_;
    std::map<std::string, submitted_job> jobs_;
    std::map<jobs::task_id, task_record> tasks_;
    /// Runs that ended as done, by task.
    std::map<jobs::task_id, std::set<jobs::run_id>> done_runs_;
    std::vector<std::string> broken_;
    std::size_t start_count_ = 0;
};

} // namespace sequoiaroute::soak
