#pragma once

#include "core/clock.hpp"
#include "jobs/progress.hpp"
#include "jobs/worker_report.hpp"
#include "scheduler/step_advice.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sequoiaroute::scheduler {

/// A step of one occurrence of a job.
struct step_key
{
    std::int64_t occurrence = 0;
    std::int32_t step = 0;

    // clang-tidy 14 misreads the defaulted operator.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(step_key const&) const = default;
};

/// A run that was ordered and whose end is not known yet.
struct assignment
{
    jobs::run_order order;
    jobs::resources task;
    core::time_point ordered_at{};
    /// First seen at work, if it was.
    std::optional<core::time_point> seen_running_at;
    std::int32_t first_percent = 0; ///< when it was first seen
    std::int32_t percent = 0;
    std::int32_t share = 100; ///< at which its agent lets it work
    core::time_point percent_changed_at{};
    core::time_point observed_at{}; ///< by the newest report that lists it
    /// A member of its gang has ended.
    std::optional<core::time_point> gang_broken_at;
    /// An ended member says that yet another one had ended before.
    bool is_gang_over = false;

    /// Its progress has told how fast its worker is.
    bool is_speed_known = false;

    bool is_stopping() const { return order.is_stop_requested; }
};

/// A job that the decider follows.
struct open_job
{
    jobs::submission submission;
    jobs::job_progress progress;
    core::time_point seen_at{};
    bool is_cancelled = false;
    std::map<jobs::task_id, assignment> assignments;
    std::map<step_key, core::time_point> waiting_since;
    /// When which agent failed a run of a step.
    std::map<step_key, std::map<std::string, core::time_point>> failed_on;
    /// What the advice service said; only for queues that need its tickets.
    std::map<step_key, step_advice> advice;
    std::optional<core::time_point> finished_at;
};

/// Why and how an order changes.
struct order_change
{
    enum class kind
    {
        start,
        stop,
        remove,
    };

    kind what = kind::start;
    jobs::run_order order;
    std::string reason;
};

/// Changes of one job, to be stored together.
struct job_change
{
    std::string job_id;
    jobs::job_progress progress;
    std::vector<order_change> orders;
    bool is_retired = false; ///< its rows are to be removed
    bool has_just_finished = false;
    bool is_urgent = false;
};

} // namespace sequoiaroute::scheduler
