#include "scheduler/advice_planner.hpp"

#include "placement/group_fit.hpp"
#include "scheduler/job_tasks.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

#include <fmt/format.h>

namespace sequoiaroute::scheduler {

namespace {

/// How many executors one call asks about.
constexpr std::size_t executors_per_call = 30;
/// What is left of a ticket must cover the way of the order to the executor.
constexpr core::duration ticket_reserve{500};

/// @return executors that were not asked about yet, those with room first, rack
///         by rack
std::vector<std::string>
unknown_executors(step_advice const* advice,
                  placement::waiting_group const& group,
                  std::span<placement::worker const> workers)
{
    auto open_group = group;
    open_group.allowed_executors.reset();
    std::map<std::string, std::int64_t> free_on_rack;
    std::vector<placement::worker const*> unknown;
    for (auto const& worker : workers) {
        if (!placement::is_candidate(worker, open_group))
            continue;
        free_on_rack[worker.rack] += worker.free_after_stops.accelerators;
        if (advice == nullptr || !advice->knows(worker.executor))
            unknown.push_back(&worker);
    }
    std::sort(unknown.begin(), unknown.end(),
              [&](auto const* left, auto const* right) {
                  auto const rank = [&](auto const& worker) {
                      return std::tuple(-free_on_rack[worker.rack], worker.rack,
                                        -worker.free_after_stops.accelerators,
                                        worker.agent);
                  };
                  return rank(*left) < rank(*right);
              });
    std::vector<std::string> executors;
    for (auto const* worker : unknown) {
        if (executors.size() < executors_per_call)
            executors.push_back(worker->executor);
    }
    return executors;
}

std::vector<std::string> executors_without_ticket(
    step_advice const* advice, std::span<std::string const> agents,
    std::span<placement::worker const> workers, core::time_point not_before)
{
    std::set<std::string> const wanted(agents.begin(), agents.end());
    std::vector<std::string> executors;
    for (auto const& worker : workers) {
        if (!wanted.contains(worker.agent) ||
            executors.size() == executors_per_call)
            continue;
        if (advice == nullptr || !advice->ticket(worker.executor, not_before))
            executors.push_back(worker.executor);
    }
    return executors;
}

} // namespace

std::string advice_request::step_name() const
{
    return fmt::format("{}.{}.{}", job_id, step.occurrence, step.step);
}

core::time_point oldest_ticket(open_job const& job, core::time_point now)
{
    return now - (job.submission.parameters.ticket_validity - ticket_reserve);
}

std::optional<advice_request>
plan_advice(open_job const& job, waiting_tasks const& tasks,
            std::span<std::string const> agents,
            std::span<placement::worker const> workers, core::time_point now)
{
    advice_request request;
    request.job_id = job.submission.job_id;
    request.step = key_of(tasks.tasks.front());
    auto const found = job.advice.find(request.step);
    auto const* const advice =
        found == job.advice.end() ? nullptr : &found->second;
    request.executors = executors_without_ticket(advice, agents, workers,
                                                 oldest_ticket(job, now));
    if (request.executors.empty() && agents.size() < tasks.tasks.size())
        request.executors = unknown_executors(advice, tasks.group, workers);
    if (request.executors.empty())
        return std::nullopt;
    return request;
}

} // namespace sequoiaroute::scheduler
