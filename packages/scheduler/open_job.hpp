#pragma once

#include "core/clock.hpp"
#include "jobs/progress.hpp"
#include "jobs/worker_report.hpp"
#include "placement/placement_round.hpp"
#include "scheduler/step_advice.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sequoiaroute::scheduler {

/// Identifies a step of one occurrence within a job.
struct step_key
{
    std::int64_t occurrence = 0;
    std::int32_t step = 0; ///< index in job_spec::steps

    // clang-tidy 14 misreads the defaulted operator.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(step_key const&) const = default;
};

/// A run that was ordered and whose end has not been recorded yet.
struct assignment
{
    jobs::run_order order;
    jobs::resources resources; ///< that it uses on its worker
    core::time_point ordered_at{};
    /// Ordered by an earlier decider; ordered_at is the time of the takeover.
    bool is_restored = false;
    /// Its executor was slow after its start when it was ordered, so its run
    /// time says little about the worker and the queue.
    bool was_ordered_cold = false;
    std::string rack; ///< of its worker; empty until that is known
    /// How many times as long it takes as on a rack that suits it.
    double run_time_factor = 1;
    /// When a report first listed it as running; empty before that.
    std::optional<core::time_point> first_seen_at;
    std::int32_t first_seen_percent = 0; ///< its progress at that time
    std::int32_t percent = 0;            ///< its progress as last reported
    std::string checkpoint; ///< as last reported; empty if there is none
    /// The processor share, in percent, to which its agent limits it.
    std::int32_t share = 100;
    core::time_point percent_changed_at{};
    core::time_point last_seen_at{}; ///< when a report last listed it
    /// When the first end of another member of its gang was recorded.
    std::optional<core::time_point> gang_broken_at;

    /// The speed of its worker has been derived from its progress.
    bool is_speed_recorded = false;

    bool is_stopping() const { return order.is_stop_requested; }
};

/// A job that the decider keeps in memory: queued, running, or finished and
/// not yet removed.
struct open_job
{
    jobs::submission submission;
    jobs::job_progress progress;
    core::time_point accepted_at{};
    bool is_cancel_requested = false;
    std::map<jobs::task_id, assignment> assignments;
    /// Since when each step has had tasks that could start.
    std::map<step_key, core::time_point> waiting_since;
    /// Why the tasks of each step wait, as last logged.
    std::map<step_key, placement::wait_reason> wait_reasons;
    /// When a run of a step last failed or stalled, by agent.
    std::map<step_key, std::map<std::string, core::time_point>>
        failed_at_by_agent;
    /// How many of its runs were stopped for urgent work.
    std::int64_t preempted_runs = 0;
    /// Answers of the advice service; only for queues that need its tickets.
    std::map<step_key, step_advice> advice;
    std::optional<core::time_point> finished_at;
};

using job_map = std::map<std::string, open_job>; ///< by job id

/// A change of an order.
struct order_change
{
    enum class action_type
    {
        start,
        stop,
        remove,
    };

    action_type action = action_type::start;
    jobs::run_order order;
    std::string reason; ///< as for change_list::add_order()
    std::string value;  ///< the row of the order; empty for a removal
};

/// Changes of one job in a round, to be stored in one transaction. The progress
/// has all effects of the orders, and of none that belongs to a later change.
struct job_change
{
    std::string job_id;
    jobs::job_progress progress;
    std::vector<order_change> orders;
    /// The retention of the finished job has passed: its rows are removed.
    bool is_retired = false;
    bool has_just_finished = false; ///< reached a final state in this round
    bool is_urgent = false;
};

} // namespace sequoiaroute::scheduler
