#pragma once

#include "programs/log_reader.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sequoiaroute::programs {

/// What a job waited for, or why work of it was done again.
enum class loss_cause
{
    store,          ///< the store answered fewer than half of the entries
    hand_over,      ///< no process held the decider's lease, or it was loading
    queueing,       ///< accepted, but not known to the decider yet
    resources,      ///< no free resources for its first run
    gang_resources, ///< the same, for a job with a gang
    agent,          ///< ordered, but not started yet
    end_report,     ///< ended, but the decider did not know it yet
    preemption,     ///< a run was stopped for urgent work
    closing_worker, ///< a run was stopped because its worker was leaving
    stall,          ///< a run was stopped because it made no progress
    broken_gang,    ///< another member of the gang had ended
    failure,        ///< a run failed
    lost_worker,    ///< the worker had ended, or its lease had run out
    other_stop,     ///< a run was stopped for another reason, or refused
    refusal,        ///< turned away before it was accepted
};

constexpr std::size_t loss_cause_count = 15;

/// @return the name of a cause as it appears in reports
std::string_view name(loss_cause cause);

/// What was lost to one cause.
struct loss_sum
{
    std::int64_t jobs = 0;      ///< that lost anything to it
    std::int64_t waited_ms = 0; ///< sum over their tasks
    double core_seconds = 0;    ///< of runs that did not end as done
};

using losses = std::array<loss_sum, loss_cause_count>;

/// What happened in one second.
struct second_summary
{
    std::array<std::int64_t, loss_cause_count> waited_ms{};
    std::int64_t finished_jobs = 0;
    bool is_store_lost = false;
};

/// Derives from the event logs of all processes what jobs waited for, and which
/// work was lost to what. Events are added in order of time. Memory is bounded
/// by the number of open jobs and by the length of the time line.
///
/// A task that waits for its first run while other tasks of its job have run is
/// not counted, because the logs do not tell when it could have started.
class loss_report
{
public:
    /// The time line has no further seconds; later ones are added to the last.
    static constexpr std::size_t max_seconds = 86'400;

    void add(logged_event const& event);

    /// Adds the jobs that have not ended. To be called once, at the end.
    void finish();

    losses const& total() const { return total_; }
    std::map<std::string, losses> const& by_queue() const { return by_queue_; }
    std::map<std::string, losses> const& by_customer() const
    {
        return by_customer_;
    }
    /// @return losses of runs, by the data centre of their worker
    std::map<std::string, losses> const& by_data_centre() const
    {
        return by_data_centre_;
    }
    std::map<std::int64_t, second_summary> const& seconds() const
    {
        return seconds_;
    }
    std::int64_t finished_jobs() const { return finished_jobs_; }
    std::int64_t unfinished_jobs() const { return unfinished_jobs_; }
    /// @return the number of jobs that were refused and never accepted
    std::int64_t never_accepted_jobs() const { return never_accepted_jobs_; }
    /// @return the number of lines that the processes say they dropped
    std::int64_t dropped_lines() const { return dropped_lines_; }
    std::size_t open_job_count() const { return jobs_.size(); }

private:
    struct interval
    {
        std::int64_t begin_ms = 0;
        std::int64_t end_ms = 0;
    };

    struct task
    {
        std::string run;
        std::string agent;
        std::optional<std::int64_t> ordered_ms;
        std::optional<std::int64_t> started_ms;
        std::optional<std::int64_t> end_listed_ms;
        std::optional<std::int64_t> waiting_since_ms; ///< for its next run
        loss_cause cause = loss_cause::other_stop;    ///< of that wait
    };

    struct job
    {
        std::string queue;
        std::string customer;
        bool has_gang = false;
        double cores_per_task = 0; ///< accelerators included
        std::optional<std::int64_t> refused_ms;
        std::optional<std::int64_t> accepted_ms;
        std::optional<std::int64_t> queued_ms;
        bool has_run = false;
        std::map<std::string, task> tasks;
        losses lost;
    };

    void add_refusal(std::string const& id, logged_event const& event);
    void add_acceptance(job& changed, logged_event const& event);
    void add_queued(job& changed, logged_event const& event);
    void add_order(job& changed, logged_event const& event);
    void add_start(logged_event const& event);
    void add_listed_end(logged_event const& event);
    void add_stop(job& changed, logged_event const& event);
    void add_end(job& changed, logged_event const& event);
    void add_store_change(logged_event const& event);
    void close(std::map<std::string, job>::iterator closed);

    /// Counts a wait, its parts in outages and hand-overs by themselves.
    void add_wait(job& waiting, loss_cause cause, interval time);
    void add_to_time_line(loss_cause cause, interval time);
    void add_lost_work(job& affected, loss_cause cause, task const& run,
                       std::int64_t end_ms);
    task* find_task(std::string const& run);
    second_summary& second_of(std::int64_t time_ms);

    std::map<std::string, job> jobs_;
    /// Refused jobs with the time of the first refusal, oldest first.
    std::deque<std::pair<std::int64_t, std::string>> refused_jobs_;
    std::set<std::string> closed_jobs_;
    std::deque<std::string> closing_order_; ///< of closed_jobs_
    std::map<std::string, std::string> data_centre_by_agent_;
    std::map<std::string, bool> store_lost_by_entry_;
    std::optional<std::int64_t> outage_since_ms_;
    std::deque<interval> outages_;
    std::deque<interval> hand_overs_;
    std::optional<std::int64_t> hand_over_since_ms_;

    losses total_;
    std::map<std::string, losses> by_queue_;
    std::map<std::string, losses> by_customer_;
    std::map<std::string, losses> by_data_centre_;
    std::map<std::int64_t, second_summary> seconds_;
    std::int64_t finished_jobs_ = 0;
    std::int64_t unfinished_jobs_ = 0;
    std::int64_t never_accepted_jobs_ = 0;
    std::int64_t dropped_lines_ = 0;
};

} // namespace sequoiaroute::programs
