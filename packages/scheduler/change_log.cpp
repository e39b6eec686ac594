#include "scheduler/change_log.hpp"

#include "core/event_log.hpp"

#include <algorithm>
#include <string>

namespace sequoiaroute::scheduler {

namespace {

void log_order(std::string const& job_id, order_change const& order)
{
    auto const run = to_text(order.order.run);
    switch (order.action) {
    case order_change::action_type::start:
        core::log_decision("run_ordered",
                           {{"job", job_id},
                            {"run", run},
                            {"agent", order.order.agent},
                            {"executor", order.order.executor.id},
                            {"checkpoint", order.order.checkpoint}});
        if (!order.reason.empty()) {
            core::log_decision("run_away_from_data",
                               {{"job", job_id}, {"run", run}});
        }
        return;
    case order_change::action_type::stop:
        core::log_decision("run_stop_ordered", {{"job", job_id},
                                                {"run", run},
                                                {"agent", order.order.agent},
                                                {"reason", order.reason}});
        return;
    case order_change::action_type::remove:
        core::log_decision("run_ended", {{"job", job_id},
                                         {"run", run},
                                         {"agent", order.order.agent},
                                         {"end", order.reason}});
        return;
    }
}

} // namespace

void log_job_queued(jobs::submission const& job, rows::row_version version)
{
    std::int64_t tasks = 0;
    std::int64_t millicores = 0;
    std::int64_t accelerators = 0;
    std::int64_t gangs = 0;
    core::duration longest_estimate{0};
    for (auto const& step : job.spec.steps) {
        longest_estimate = std::max(longest_estimate, step.estimate);
        tasks += step.task_count;
        millicores += step.task_count * step.task.millicores;
        accelerators += step.task_count * step.task.accelerators;
        gangs += step.is_gang ? 1 : 0;
    }
    core::log_decision(
        "job_queued",
        {{"job", job.job_id},
         {"customer", job.customer},
         {"queue", job.parameters.queue},
         {"priority", job.parameters.priority},
         {"steps", static_cast<std::int64_t>(job.spec.steps.size())},
         {"tasks", tasks},
         {"gangs", gangs},
         {"millicores", millicores},
         {"accelerators", accelerators},
         {"payload_bytes", static_cast<std::int64_t>(job.spec.payload.size())},
         {"estimate_ms", longest_estimate.count()},
         {"version", static_cast<std::int64_t>(version)}});
}

void log_changes(std::span<job_change const> changes)
{
    for (auto const& change : changes) {
        for (auto const& order : change.orders)
            log_order(change.job_id, order);
        if (change.has_just_finished) {
            core::log_decision(
                "job_finished",
                {{"job", change.job_id},
                 {"state", std::string(jobs::name(change.progress.state))}});
        }
    }
}

void log_lost_agents(std::span<lost_agent const> agents)
{
    for (auto const& lost : agents) {
        core::log_event("agent_lost", {{"agent", lost.agent},
                                       {"silence_ms", lost.silence.count()},
                                       {"runs", lost.lapsed_runs}});
    }
}

void log_waits(std::span<step_wait const> waits)
{
    for (auto const& wait : waits) {
        core::log_decision("tasks_wait",
                           {{"job", wait.job_id},
                            {"occurrence", wait.step.occurrence},
                            {"step", wait.step.step},
                            {"tasks", static_cast<std::int64_t>(wait.tasks)},
                            {"reason", std::string(name(wait.reason))}});
    }
}

} // namespace sequoiaroute::scheduler
