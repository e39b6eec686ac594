#include "soak/executor_model.hpp"

#include <algorithm>
#include <cstdlib>

#include <fmt/format.h>

namespace sequoiaroute::soak {

namespace {

/// How long a member of a gang waits for the others to start.
constexpr core::duration gang_start_timeout{3000};
/// How far the time of day is set back before a start.
constexpr core::duration clock_set_back{2000};
/// Speed of the executor's clock relative to the real time.
constexpr double clock_speed = 0.98;

} // namespace

gang_registry::gang& gang_registry::gang_of(jobs::run_id const& run)
{
    return gangs_[fmt::format("{}.{}/{}", run.task.job_id, run.task.step,
                              run.run)];
}

std::string task_plan::payload() const
{
    return fmt::format("{} {} {} {}", work_time.count(), gang_size,
                       demand.millicores, demand.accelerators);
}

task_plan task_plan::from_payload(std::string const& payload)
{
    task_plan plan;
    char* next = nullptr;
    plan.work_time = core::duration(std::strtol(payload.c_str(), &next, 10));
    plan.gang_size = std::strtoul(next, &next, 10);
    plan.demand.millicores = std::strtol(next, &next, 10);
    plan.demand.accelerators = std::strtol(next, &next, 10);
    return plan;
}

executor_model::executor_model(std::string name, std::string agent,
                               jobs::resources capacity,
                               core::duration max_lease,
                               core::clock const& clock,
                               invariant_checker& checker, gang_registry& gangs)
    : name_(std::move(name)), id_(name_), agent_(std::move(agent)),
      capacity_(capacity), max_lease_(max_lease), clock_(clock),
      checker_(checker), gangs_(gangs)
{
}

std::string executor_model::incarnation() const
{
    return fmt::format("{}@{}", id_, born_ms_);
}

std::int64_t executor_model::clock_ms() const
{
    auto const age = clock_.now() - born_at_;
    return static_cast<std::int64_t>(static_cast<double>(age.count()) *
                                     clock_speed);
}

void executor_model::begin_incarnation(succession next)
{
    is_up_ = true;
    born_at_ = clock_.now();
    advanced_at_ = born_at_;
    if (next == succession::new_id)
        id_ = fmt::format("{}-{}", name_, ++successor_count_);
    if (next == succession::earlier_start) {
        first_born_ms_ -= clock_set_back.count();
        born_ms_ = first_born_ms_;
    } else {
        auto const now_ms = born_at_.time_since_epoch().count();
        last_born_ms_ = std::max(last_born_ms_ + 1, now_ms);
        born_ms_ = last_born_ms_;
        if (first_born_ms_ == 0)
            first_born_ms_ = born_ms_;
    }
    deadline_ms_ = 0;
    last_end_number_ = 0;
    running_.clear();
    ends_.clear();
    highest_refused_runs_.clear();
}

void executor_model::end_incarnation()
{
    if (!is_up_)
        return;
    is_up_ = false;
    for (auto const& [run, record] : running_) {
        if (record.plan.gang_size > 0)
            gangs_.gang_of(run).members.erase(run);
    }
    running_.clear();
    checker_.on_incarnation_end(incarnation());
}

jobs::resources executor_model::in_use() const
{
    jobs::resources sum;
    for (auto const& [run, record] : running_)
        sum += record.plan.demand;
    return sum;
}

executor_model::start_result executor_model::start(jobs::run_id const& run,
                                                   std::string const& payload,
                                                   std::int64_t deadline_ms)
{
    if (running_.contains(run))
        return start_result::started;
    auto const highest_refused = highest_refused_runs_.find(run.task);
    if (highest_refused != highest_refused_runs_.end() &&
        run.run <= highest_refused->second) {
        extend_lease(deadline_ms);
        return start_result::old;
    }
    if (deadline_ms < clock_ms())
        return start_result::late;
    extend_lease(deadline_ms);
    running_run record;
    record.plan = task_plan::from_payload(payload);
    record.started_at = clock_.now();
    if (record.plan.gang_size > 0)
        gangs_.gang_of(run).members.insert(run);
    running_.emplace(run, record);
    checker_.on_start({run, incarnation()}, agent_, payload, in_use(),
                      capacity_);
    return start_result::started;
}

void executor_model::stop(jobs::run_id const& run)
{
    auto const found = running_.find(run);
    if (found == running_.end()) {
        auto& highest_refused = highest_refused_runs_[run.task];
        highest_refused = std::max(highest_refused, run.run);
    } else if (!found->second.stops_at) {
        found->second.stops_at = clock_.now() + stop_time;
        checker_.on_stop({run, incarnation()});
    }
}

bool executor_model::check_lease()
{
    if (clock_ms() <= deadline_ms_)
        return false;
    for (auto& listed : ends_)
        listed.has_lapsed = true;
    return true;
}

void executor_model::extend_lease(std::int64_t deadline_ms)
{
    check_lease();
    auto const latest = clock_ms() + max_lease_.count();
    deadline_ms_ = std::max(deadline_ms_, std::min(deadline_ms, latest));
}

void executor_model::acknowledge_ends(std::int64_t number)
{
    check_lease();
    std::erase_if(ends_, [&](auto const& listed) {
        if (listed.number > number)
            return false;
        if (!listed.has_lapsed)
            checker_.on_acknowledged({listed.run, incarnation()},
                                     listed.outcome);
        return true;
    });
}

void executor_model::end(run_map::iterator run, jobs::run_end outcome)
{
    auto const id = run->first;
    if (run->second.plan.gang_size > 0)
        gangs_.gang_of(id).members.erase(id);
    running_.erase(run);
    auto& highest_refused = highest_refused_runs_[id.task];
    highest_refused = std::max(highest_refused, id.run);
    ends_.push_back({++last_end_number_, id, outcome});
    checker_.on_end({id, incarnation()}, outcome);
}

void executor_model::advance()
{
    auto const now = clock_.now();
    auto const passed = now - advanced_at_;
    advanced_at_ = now;
    if (!is_up_)
        return;
    bool const has_lapsed = check_lease();
    for (auto next = running_.begin(); next != running_.end();) {
        auto const run = next++;
        if (has_lapsed)
            end(run, jobs::run_end::lapsed);
        else if (run->second.stops_at && *run->second.stops_at <= now)
            end(run, jobs::run_end::stopped);
        else
            advance_run(run, passed);
    }
}

void executor_model::advance_run(run_map::iterator run, core::duration passed)
{
    auto& record = run->second;
    auto const& plan = record.plan;
    if (plan.gang_size > 0) {
        if (is_cut_off_from_gangs)
            return;
        auto& gang = gangs_.gang_of(run->first);
        if (gang.is_done)
            return end(run, jobs::run_end::done);
        if (gang.members.size() < plan.gang_size)
            return wait_for_gang(run);
    }
    if (!is_hanging)
        record.work_done += passed;
    if (fails_runs && 2 * record.work_done > plan.work_time)
        return end(run, jobs::run_end::failed);
    if (record.work_done < plan.work_time)
        return;
    if (plan.gang_size > 0)
        gangs_.gang_of(run->first).is_done = true;
    end(run, jobs::run_end::done);
}

void executor_model::wait_for_gang(run_map::iterator run)
{
    auto const& record = run->second;
    // What is being stopped takes its time, whatever the others do.
    if (record.stops_at)
        return;
    // Progress shows that the gang was complete, so a member has ended. Without
    // progress a member has not started.
    if (record.work_done > core::duration(0))
        end(run, jobs::run_end::broken);
    else if (clock_.now() - record.started_at > gang_start_timeout)
        end(run, jobs::run_end::alone);
}

} // namespace sequoiaroute::soak
