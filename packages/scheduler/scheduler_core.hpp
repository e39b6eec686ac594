#pragma once

#include "jobs/rules.hpp"
#include "scheduler/advice_planner.hpp"
#include "scheduler/advice_service.hpp"
#include "scheduler/group_builder.hpp"
#include "scheduler/open_job.hpp"
#include "scheduler/run_end_recorder.hpp"
#include "scheduler/start_limits.hpp"
#include "scheduler/urgent_headroom.hpp"
#include "scheduler/worker_view.hpp"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sequoiaroute::scheduler {

/// Time limits of the scheduler.
struct scheduler_limits
{
    /// A worker accepts no new runs if its newest report is this old or older.
    core::duration report_freshness_limit{2000};
    /// All leases of runs on a worker have expired if its newest report is
    /// older than this, so its runs are taken to have ended.
    core::duration lost_after{18'000};
    /// How long the rows of a finished job are kept; counted from the takeover
    /// if it finished under an earlier decider.
    core::duration finished_job_retention{180'000};
    locality_limits locality;
};

/// The time of a scheduling round, on the clocks that it depends on.
struct decision_time
{
    core::time_point now{}; ///< steady
    /// Milliseconds since 1970; used only for the due times of repeated jobs.
    std::int64_t unix_ms = 0;
    /// All reports stored until this time have been read. The silence of a
    /// worker is measured up to it, so that a failure to read reports is not
    /// taken for lost workers.
    core::time_point reports_confirmed_at{};
};

/// Decides where tasks run, based on the jobs and the reports of the agents. It
/// reads no clock and does no input or output: its decisions take effect when
/// the caller stores the changes it returns.
///
/// A task has at most one run at a time. Its next run is ordered only once the
/// previous one is known to have ended: from a report, because the executor
/// ended or restarted, or because its lease has expired.
class scheduler_core
{
public:
    explicit scheduler_core(scheduler_limits limits)
        : limits_(limits), end_recorder_(changes_, runs_by_agent_, statistics_)
    {
    }
    scheduler_core(scheduler_core const&) = delete;
    scheduler_core& operator=(scheduler_core const&) = delete;

    /// Sets the rules for the rounds from now on.
    void set_rules(std::shared_ptr<jobs::rules const> rules)
    {
        rules_ = std::move(rules);
    }

    /// Sets where and until when the runs of the rounds from now on may start.
    void set_start_limits(start_limits limits)
    {
        start_limits_ = std::move(limits);
    }

    /// Adds a job. Does nothing if a job with this id was added before.
    /// @param submission the job
    /// @param accepted_at when it was accepted; its completion objective counts
    ///        from then
    void add_submission(jobs::submission submission,
                        core::time_point accepted_at);

    /// Restores the stored progress of a job that was added. To be called
    /// before the first decide(). Ignores unknown jobs.
    /// @param job_id the job
    /// @param progress its progress
    /// @param now the current time; the retention of a finished job counts from
    ///        it
    void restore_progress(std::string const& job_id,
                          jobs::job_progress progress, core::time_point now);

    /// Restores a stored order, whose run may still be running. To be called
    /// before the first decide(). Ignores orders of unknown jobs or steps.
    /// @param order the order
    /// @param now the current time; how long its run has been running before is
    ///        not known
    void restore_order(jobs::run_order order, core::time_point now);

    /// Requests the cancellation of a job; the next round carries it out.
    /// Ignores unknown and finished jobs.
    void cancel(std::string const& job_id);

    /// Updates a worker and its runs from a report. Ignores a report that was
    /// written before the newest one received.
    /// @param report the report
    /// @param now when it arrived
    void receive_report(jobs::worker_report report, core::time_point now);

    /// Restores what earlier deciders have learnt of the speed of workers.
    void restore_speeds(placement::worker_speed::estimates const& earlier)
    {
        statistics_.speed.restore(earlier);
    }

    /// @return what is known of the speed of workers, to be restored after a
    ///         takeover
    placement::worker_speed::estimates notable_speeds() const
    {
        return statistics_.speed.notable_estimates();
    }

    /// Runs a scheduling round: ends the runs of lost workers, begins due
    /// occurrences, stops and places runs, updates the states of jobs and
    /// removes those whose retention has passed.
    /// @param time the time of the round
    /// @return all changes since the last round, to be stored in this order
    std::vector<job_change> decide(decision_time const& time);

    /// @return the agents whose runs the last round has taken as lapsed
    std::vector<lost_agent> const& lost_agents() const { return lost_agents_; }

    /// @return the steps with tasks that have waited for a while, and for which
    ///         the last round has found another reason than those before it
    std::vector<step_wait> const& new_waits() const { return new_waits_; }

    /// @return the requests to the advice service that the last round needs,
    ///         the most urgent first
    std::vector<advice_request> const& advice_requests() const
    {
        return advice_requests_;
    }

    /// Records an answer of the advice service.
    /// @param request the request that was answered
    /// @param tickets the tickets received, by executor id
    /// @param now when the answer arrived
    void receive_advice(advice_request const& request,
                        advice_service::tickets const& tickets,
                        core::time_point now);

    job_map const& jobs() const { return jobs_; }
    worker_map const& workers() const { return workers_; }

private:
    /// Updates the progress of the runs that a report lists as running.
    void record_running(jobs::worker_report const& report,
                        core::time_point now);
    /// Records the runs that a report lists as ended, and as lost those of an
    /// executor that has ended or restarted.
    void record_ends(jobs::worker_report const& report, core::time_point now);
    /// Records how a run ended that had been taken as lost.
    void record_late_end(std::string const& agent, jobs::ended_run const& late,
                         core::time_point now);
    /// @return whether the worker of a run has been silent for so long that the
    ///         lease of the run has certainly expired
    bool has_lease_expired(assignment const& run,
                           decision_time const& time) const;
    void stop_run(open_job& job, assignment& run, std::string_view reason);
    /// Stops the run of a task or, if it is a member of a gang, of all members.
    void stop_step(open_job& job, jobs::task_id const& member,
                   std::string_view reason);
    void stop_all_runs(open_job& job, std::string_view reason);

    /// Records the ends of runs whose workers are lost.
    void record_lapsed_runs(decision_time const& time);
    void add_lost_agent(std::string const& agent, core::duration silence);
    /// @return how long the agent of a run has not reported
    core::duration silence_of(assignment const& run,
                              decision_time const& time) const;
    /// Adds the progress of occurrences that have become due.
    void open_due_occurrences(open_job& job, std::int64_t unix_ms);
    /// Moves occurrences whose tasks are all done to the finished ones.
    void close_done_occurrences(open_job& job);
    /// Moves a job to its next state if it has reached it.
    void update_state(open_job& job, core::time_point now);
    /// Stops runs that cannot complete: in a broken gang, without progress, or
    /// on a worker that will end before them.
    void stop_unviable_runs(core::time_point now);
    /// Places waiting tasks, orders their runs and stops preempted ones.
    void place_tasks(core::time_point now);
    void apply_urgent_headroom(std::vector<waiting_tasks>& waiting,
                               std::span<placement::worker const> workers,
                               core::time_point now);
    bool has_tickets(waiting_tasks const& tasks,
                     std::span<std::string const> agents,
                     std::span<placement::worker const> workers,
                     core::time_point now);
    /// Notes why tasks were not placed, if they have waited for a while.
    void note_wait(waiting_tasks const& tasks,
                   placement::unplaced_group const& unplaced,
                   core::time_point now);
    /// Orders the runs of tasks on the agents on which they were placed.
    void start_group(waiting_tasks const& tasks,
                     std::span<std::string const> agents, core::time_point now);
    void restore_run_number(open_job& job, jobs::run_id const& run);
    /// Adds the run of a new or restored order.
    void add_assignment(open_job& job, jobs::run_order order,
                        core::time_point now);
    /// @param run number of the run
    void start_task(jobs::task_id const& task, std::string const& agent,
                    std::int64_t run, core::time_point now);
    /// Removes finished jobs whose retention has passed.
    void remove_expired_jobs(core::time_point now);

    scheduler_limits limits_;
    std::shared_ptr<jobs::rules const> rules_ =
        std::make_shared<jobs::rules const>();
    start_limits start_limits_;
    job_map jobs_;
    worker_map workers_;
    run_statistics statistics_;
    change_list changes_;
    assignment_index runs_by_agent_;
    run_end_recorder end_recorder_;
    std::vector<advice_request> advice_requests_;
    std::vector<lost_agent> lost_agents_;
    std::vector<step_wait> new_waits_;
    urgent_headroom urgent_headroom_;
};

} // namespace sequoiaroute::scheduler
