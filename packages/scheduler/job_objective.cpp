#include "scheduler/job_objective.hpp"

#include "core/codec.hpp"
#include "scheduler/job_tasks.hpp"

#include <algorithm>

namespace sequoiaroute::scheduler {

namespace {

/// A result is of use to its caller until this many times the objective.
constexpr std::int64_t useful_objectives = 3;

/// @return whether no task of a step has work left, in any open occurrence
bool is_step_done_everywhere(open_job const& job, std::size_t step)
{
    auto const& open = job.progress.occurrences;
    return !open.empty() &&
           std::all_of(open.begin(), open.end(), [&](auto const& item) {
               auto const& steps = item.second.steps;
               return step < steps.size() && is_step_done(steps[step]);
           });
}

/// How long the steps of a job take one after another, where they depend on
/// each other.
struct path_times
{
    core::duration whole{0};
    core::duration remaining{0}; ///< without the steps that are done
};

path_times expected_paths(open_job const& job,
                          run_time_estimator const& run_times)
{
    auto const& spec = job.submission.spec;
    auto times = run_times.expected_step_times(job.submission);
    path_times paths;
    paths.whole = jobs::critical_path_time(spec, times);
    paths.remaining = paths.whole;
    bool has_done_steps = false;
    // The only step of an open job is not done.
    for (std::size_t index = 0; index < times.size(); ++index) {
        if (times.size() == 1 || !is_step_done_everywhere(job, index))
            continue;
        times[index] = core::duration(0);
        has_done_steps = true;
    }
    if (has_done_steps)
        paths.remaining = jobs::critical_path_time(spec, times);
    return paths;
}

} // namespace

usefulness job_objective::usefulness_at(core::time_point now) const
{
    if (now <= latest_start)
        return usefulness::timely;
    return now + remaining_path <= useful_until ? usefulness::late
                                                : usefulness::none;
}

job_objective objective_of(open_job const& job,
                           run_time_estimator const& run_times)
{
    auto const& parameters = job.submission.parameters;
    auto const paths = expected_paths(job, run_times);
    auto const factored =
        std::min(core::scaled(paths.whole, parameters.objective_factor),
                 core::max_document_duration);
    auto const objective = parameters.objective_slack + factored;
    job_objective result;
    result.due = job.accepted_at + objective;
    result.useful_until = job.accepted_at + useful_objectives * objective;
    result.remaining_path = paths.remaining;
    result.latest_start = result.due - result.remaining_path;
    return result;
}

} // namespace sequoiaroute::scheduler
