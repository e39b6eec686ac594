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

constexpr std::size_t max_executors_per_call = 30;
/// The remaining validity of a ticket must cover the time in which the order
/// reaches the executor.
constexpr core::duration ticket_expiry_margin{500};

/// @return executors that were not queried yet, rack by rack; the racks, and
///         the workers of a rack, with the most free accelerators first
std::vector<std::string>
unqueried_executors(step_advice const* advice,
                    placement::waiting_group const& group,
                    std::span<placement::worker const> workers)
{
    auto unrestricted_group = group;
    unrestricted_group.allowed_executors.reset();
    std::map<std::string, std::int64_t> free_on_rack;
    std::vector<placement::worker const*> unqueried;
    for (auto const& worker : workers) {
        if (!placement::is_candidate(worker, unrestricted_group))
            continue;
        free_on_rack[worker.rack] += worker.free_after_stops.accelerators;
        if (advice == nullptr || !advice->has_queried(worker.executor))
            unqueried.push_back(&worker);
    }
    std::sort(unqueried.begin(), unqueried.end(),
              [&](auto const* left, auto const* right) {
                  auto const rank = [&](auto const& worker) {
                      return std::tuple(-free_on_rack[worker.rack], worker.rack,
                                        -worker.free_after_stops.accelerators,
                                        worker.agent);
                  };
                  return rank(*left) < rank(*right);
              });
    std::vector<std::string> executors;
    for (auto const* worker : unqueried) {
        if (executors.size() < max_executors_per_call)
            executors.push_back(worker->executor);
    }
    return executors;
}

/// @return the executors of these agents that have no ticket received at
///         @p not_before or later
std::vector<std::string> executors_without_ticket(
    step_advice const* advice, std::span<std::string const> agents,
    std::span<placement::worker const> workers, core::time_point not_before)
{
    std::set<std::string> const accelerators_to_keep_free(agents.begin(),
                                                          agents.end());
    std::vector<std::string> executors;
    for (auto const& worker : workers) {
        if (!accelerators_to_keep_free.contains(worker.agent) ||
            executors.size() == max_executors_per_call)
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

core::time_point earliest_usable_ticket_time(open_job const& job,
                                             core::time_point now)
{
    return now -
           (job.submission.parameters.ticket_validity - ticket_expiry_margin);
}

std::optional<advice_request>
plan_advice_request(open_job const& job, waiting_tasks const& tasks,
                    std::span<std::string const> agents,
                    std::span<placement::worker const> workers,
                    core::time_point now)
{
    advice_request request;
    request.job_id = job.submission.job_id;
    request.step = step_key_of(tasks.tasks.front());
    auto const found = job.advice.find(request.step);
    auto const* const advice =
        found == job.advice.end() ? nullptr : &found->second;
    request.executors = executors_without_ticket(
        advice, agents, workers, earliest_usable_ticket_time(job, now));
    if (request.executors.empty() && agents.size() < tasks.tasks.size())
        request.executors = unqueried_executors(advice, tasks.group, workers);
    if (request.executors.empty())
        return std::nullopt;
    return request;
}

} // namespace sequoiaroute::scheduler
