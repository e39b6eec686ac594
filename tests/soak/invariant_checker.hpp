#pragma once

#include "core/clock.hpp"
#include "jobs/resources.hpp"
#include "jobs/worker_report.hpp"
#include "soak/run_history.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sequoiaroute::soak {

/// A job of the simulated customers, and what they and the executors have seen
/// of it.
struct submitted_job
{
    std::string payload;
    /// The number of tasks of each step; each step depends on the one before.
    std::vector<std::int32_t> step_sizes;
    bool is_gang = false; ///< whether the tasks of each step are a gang
    bool is_wide = false; ///< whether it has hundreds of tasks
    bool was_accepted = false;
    core::time_point accepted_at{}; ///< when the customer learned it
    /// An attempt to submit it had no response, or one that leaves open whether
    /// the job was accepted.
    bool may_be_accepted = false;
    bool was_started = false;
    bool is_cancelled = false; ///< a customer has requested it
    /// When the cancellation was confirmed; zero if it was not.
    core::time_point cancel_confirmed_at{};
    bool is_final = false; ///< a customer has received a final state
    bool is_completed = false;
    core::time_point completed_at{}; ///< when a customer first saw it
};

/// Checks the invariants of the system while it runs, from what customers and
/// executors see.
class invariant_checker
{
public:
    explicit invariant_checker(core::clock const& clock)
        : clock_(clock), history_(clock)
    {
    }

    /// How long after its acceptance a job may be reported as unknown. Zero
    /// unless the store's reads are stale for as long.
    core::duration visibility_delay{0};

    /// @return all submitted jobs by id; customers add and update them
    std::map<std::string, submitted_job>& jobs() { return jobs_; }

    /// An executor has started a run.
    /// @param started the run and the incarnation of the executor
    /// @param agent the name of the executor's agent
    /// @param payload the payload as the executor received it
    /// @param in_use what the runs of the executor use, this one included
    /// @param capacity the capacity of the executor
    void on_start(run_history::key const& started, std::string const& agent,
                  std::string const& payload, jobs::resources const& in_use,
                  jobs::resources const& capacity);

    /// How long after an evacuation runs may still start in its data centre.
    core::duration evacuation_bound{5000};

    /// The evacuation of a data centre has been stored.
    void on_evacuation(std::string const& data_centre);

    /// The evacuation of a data centre has been withdrawn.
    void on_evacuation_end(std::string const& data_centre);

    /// A run has started in a data centre, with its order and not late.
    void on_timely_start(jobs::run_id const& run,
                         std::string const& data_centre);

    /// An executor has received the first order to stop a current run.
    void on_stop(run_history::key const& stopped);

    /// A run has ended while its executor remains up.
    void on_end(run_history::key const& ended, jobs::run_end outcome);

    /// The agent has acknowledged the end of a run before the lease of the
    /// executor expired.
    void on_acknowledged(run_history::key const& ended, jobs::run_end outcome);

    /// An incarnation of an executor has ended, and with it all its runs.
    void on_incarnation_end(std::string const& executor);

    /// A customer has received the state of a job.
    void on_state(std::string const& job, std::string const& state);

    /// A customer has received the response that a job does not exist.
    void on_unknown_job(std::string const& job);

    /// A process that was stopping gracefully did not complete the response to
    /// a request that it had read.
    /// @param process the name of the process
    /// @param request describes the request
    void on_broken_response(std::string const& process,
                            std::string const& request);

    /// The logs do not show the whole timeline of a job.
    /// @param gap describes what is missing
    void on_timeline_gap(std::string gap) { report(std::move(gap)); }

    /// Checks what must hold once all faults are healed and all jobs have had
    /// time to end.
    void check_final_state();

    /// @return a text for each violation, which shows what has happened to the
    ///         runs that take part until now
    std::vector<std::string> violations() const;
    std::size_t start_count() const { return start_count_; }

private:
    struct task_record
    {
        /// The current runs, and the incarnation that each runs on.
        std::map<jobs::run_id, std::string> running;
        bool is_done = false;              ///< a run has ended as done
        bool is_done_acknowledged = false; ///< and that was acknowledged
        /// Runs that ended as done before a later one started. Their ends must
        /// never be acknowledged.
        std::set<jobs::run_id> superseded;
    };

    struct violation
    {
        std::string text;
        std::vector<run_history::key> runs; ///< that take part in it
    };

    /// @param text a line of text
    /// @param runs the runs that take part
    void report(std::string text, std::vector<run_history::key> runs = {});
    /// @return whether all tasks of a step are done; for a gang, whether one is
    bool is_step_done(std::string const& job, std::int32_t step) const;

    core::clock const& clock_;
    run_history history_;
    std::map<std::string, submitted_job> jobs_;
    std::map<jobs::task_id, task_record> tasks_;
    /// All runs that ended as done, by task.
    std::map<jobs::task_id, std::set<jobs::run_id>> done_runs_;
    /// Since when data centres are evacuated.
    std::map<std::string, core::time_point> evacuated_since_;
    std::vector<violation> violations_;
    std::size_t start_count_ = 0;
};

} // namespace sequoiaroute::soak
