#pragma once

#include "jobs/rules.hpp"
#include "scheduler/advice_planner.hpp"
#include "scheduler/advice_service.hpp"
#include "scheduler/group_builder.hpp"
#include "scheduler/open_job.hpp"
#include "scheduler/run_end_recorder.hpp"
#include "scheduler/urgent_reserve.hpp"
#include "scheduler/worker_view.hpp"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sequoiaroute::scheduler {

/// Times that bound what the decider may conclude.
struct scheduler_limits
{
    /// A worker that was not heard for so long takes no new runs.
    core::duration report_fresh{2000};
    /// Every lease has run out on a worker that was not heard for so long.
    core::duration lost_after{18'000};
    /// How long the state of a finished job is kept.
    core::duration finished_job_retention{180'000};
};

/// The moment of a decision.
struct moment
{
    core::time_point now{};
    /// Time of day in milliseconds since 1970, for repeated jobs only.
    std::int64_t wall_ms = 0;
    /// Up to when all reports of agents are known.
    core::time_point reports_confirmed_at{};
};

/// Decides where tasks run, from the jobs and the reports of the agents. It
/// neither reads a clock nor calls anything: what it decides takes effect when
/// its changes are stored.
///
/// A task has one run at a time: its next run is ordered only when the end of
/// the last one is known, from a report, from a newer life of the executor, or
/// because every lease has run out.
class scheduler_core
{
public:
    explicit scheduler_core(scheduler_limits limits)
        : limits_(limits), ends_(changes_, runs_by_agent_, lessons_)
    {
    }
    scheduler_core(scheduler_core const&) = delete;
    scheduler_core& operator=(scheduler_core const&) = delete;

    void set_rules(std::shared_ptr<jobs::rules const> rules)
    {
        rules_ = std::move(rules);
    }

    /// Adds a job, or does nothing if it is known.
    void add_submission(jobs::submission submission, core::time_point now);

    /// Restores what was recorded of a job; used before decisions begin.
    void restore_progress(std::string const& job_id,
                          jobs::job_progress progress, core::time_point now);

    /// Restores an order that stands; used before decisions begin.
    void restore_order(jobs::run_order order, core::time_point now);

    void cancel(std::string const& job_id);

    /// Takes note of a report and of the ends that it lists.
    void receive(jobs::worker_report report, core::time_point now);

    /// @return what to store, in this order
    std::vector<job_change> decide(moment const& at);

    /// @return what the last round wants to know of the advice service, the
    ///         most urgent first
    std::vector<advice_request> const& advice_requests() const
    {
        return advice_requests_;
    }

    /// Takes note of an answer of the advice service.
    void receive_advice(advice_request const& request,
                        advice_service::tickets const& tickets,
                        core::time_point now);

    job_map const& jobs() const { return jobs_; }
    worker_map const& workers() const { return workers_; }

private:
    void observe_running(jobs::worker_report const& report,
                         core::time_point now);
    void end_runs(jobs::worker_report const& report, core::time_point now);
    bool has_surely_ended(assignment const& run, moment const& at) const;
    void stop(open_job& job, assignment& run, std::string_view reason);
    void stop_step(open_job& job, jobs::task_id const& member,
                   std::string_view reason);
    void stop_all(open_job& job, std::string_view reason);

    void end_runs_of_lost_workers(moment const& at);
    void open_occurrences(open_job& job, std::int64_t wall_ms);
    void close_occurrences(open_job& job);
    void settle(open_job& job, core::time_point now);
    void stop_misplaced(core::time_point now);
    void place(core::time_point now);
    void reserve_for_urgent(std::vector<waiting_tasks>& waiting,
                            core::time_point now);
    bool has_tickets(waiting_tasks const& tasks,
                     std::span<std::string const> agents,
                     std::span<placement::worker const> workers,
                     core::time_point now);
    void start_group(waiting_tasks const& tasks,
                     std::span<std::string const> agents, core::time_point now);
    void assign(open_job& job, jobs::run_order order, core::time_point now);
    void start(jobs::task_id const& task, std::string const& agent,
               std::int64_t run, core::time_point now);
    void retire(core::time_point now);

    scheduler_limits limits_;
    std::shared_ptr<jobs::rules const> rules_ =
        std::make_shared<jobs::rules const>();
    job_map jobs_;
    worker_map workers_;
    run_lessons lessons_;
    change_list changes_;
    assignment_index runs_by_agent_;
    run_end_recorder ends_;
    std::vector<advice_request> advice_requests_;
    urgent_reserve urgent_reserve_;
};

} // namespace sequoiaroute::scheduler
