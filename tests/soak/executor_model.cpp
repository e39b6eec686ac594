#include "soak/executor_model.hpp"

#include <algorithm>
#include <cstdlib>

#include <fmt/format.h>

namespace sequoiaroute::soak {

namespace {

constexpr core::duration stop_time{150};
constexpr core::duration gang_patience{3000};
constexpr double clock_speed = 0.98;

} // namespace

gang_board::gang& gang_board::of(jobs::run_id const& member)
{
    return gangs_[fmt::format("{}.{}/{}", member.task.job_id, member.task.step,
                              member.run)];
}

std::string task_plan::payload() const
{
    return fmt::format("{} {} {} {}", work.count(), gang_size, room.millicores,
                       room.accelerators);
}

task_plan task_plan::from_payload(std::string const& payload)
{
    task_plan plan;
    char* next = nullptr;
    plan.work = core::duration(std::strtol(payload.c_str(), &next, 10));
    plan.gang_size = std::strtoul(next, &next, 10);
    plan.room.millicores = std::strtol(next, &next, 10);
    plan.room.accelerators = std::strtol(next, &next, 10);
    return plan;
}

executor_model::executor_model(std::string name, jobs::resources capacity,
                               core::clock const& clock,
                               invariant_checker& checker, gang_board& gangs)
    : name_(std::move(name)), capacity_(capacity), clock_(clock),
      checker_(checker), gangs_(gangs)
{
}

std::string executor_model::life() const
{
    return fmt::format("{}@{}", name_, born_ms_);
}

std::int64_t executor_model::clock_ms() const
{
    auto const age = clock_.now() - born_at_;
    return static_cast<std::int64_t>(static_cast<double>(age.count()) *
                                     clock_speed);
}

void executor_model::begin_life()
{
    is_up_ = true;
    born_at_ = clock_.now();
    advanced_at_ = born_at_;
    // Lives are told apart by their births.
    born_ms_ = std::max(born_ms_ + 1, born_at_.time_since_epoch().count());
    deadline_ms_ = 0;
    last_number_ = 0;
    running_.clear();
    ends_.clear();
    barred_.clear();
}

void executor_model::end_life()
{
    if (!is_up_)
        return;
    is_up_ = false;
    for (auto const& [run, record] : running_) {
        if (record.plan.gang_size > 0)
            gangs_.of(run).members.erase(run);
    }
    running_.clear();
    checker_.on_life_end(life());
}

jobs::resources executor_model::in_use() const
{
    jobs::resources sum;
    for (auto const& [run, record] : running_)
        sum += record.plan.room;
    return sum;
}

executor_model::start_answer executor_model::start(jobs::run_id const& run,
                                                   std::string const& payload,
                                                   std::int64_t deadline_ms)
{
    if (running_.contains(run))
        return start_answer::started;
    auto const barred = barred_.find(run.task);
    if (barred != barred_.end() && run.run <= barred->second)
        return start_answer::old;
    if (deadline_ms < clock_ms())
        return start_answer::late;
    extend(deadline_ms);
    running_run record;
    record.plan = task_plan::from_payload(payload);
    record.started_at = clock_.now();
    if (record.plan.gang_size > 0)
        gangs_.of(run).members.insert(run);
    running_.emplace(run, record);
    checker_.on_start(life(), run, payload, in_use(), capacity_);
    return start_answer::started;
}

void executor_model::stop(jobs::run_id const& run)
{
    auto const found = running_.find(run);
    if (found == running_.end()) {
        auto& barred = barred_[run.task];
        barred = std::max(barred, run.run);
    } else if (!found->second.stops_at) {
        found->second.stops_at = clock_.now() + stop_time;
    }
}

void executor_model::extend(std::int64_t deadline_ms)
{
    deadline_ms_ = std::max(deadline_ms_, deadline_ms);
}

void executor_model::acknowledge(std::int64_t number)
{
    std::erase_if(ends_, [&](auto const& listed) {
        if (listed.number > number)
            return false;
        checker_.on_acknowledged(listed.run, listed.how);
        return true;
    });
}

void executor_model::end(run_map::iterator run, jobs::run_end how)
{
    auto const id = run->first;
    if (run->second.plan.gang_size > 0)
        gangs_.of(id).members.erase(id);
    running_.erase(run);
    auto& barred = barred_[id.task];
    barred = std::max(barred, id.run);
    ends_.push_back({++last_number_, id, how});
    checker_.on_end(id, how);
}

void executor_model::advance()
{
    auto const now = clock_.now();
    auto const passed = now - advanced_at_;
    advanced_at_ = now;
    if (!is_up_)
        return;
    bool const has_lapsed = clock_ms() > deadline_ms_;
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
        auto& gang = gangs_.of(run->first);
        if (gang.is_done)
            return end(run, jobs::run_end::done);
        if (gang.members.size() < plan.gang_size)
            return wait_for_gang(run);
    }
    if (!is_hanging)
        record.done += passed;
    if (record.done < plan.work)
        return;
    if (plan.gang_size > 0)
        gangs_.of(run->first).is_done = true;
    end(run, jobs::run_end::done);
}

void executor_model::wait_for_gang(run_map::iterator run)
{
    auto const& record = run->second;
    // A member that was there has ended, or one never came.
    if (record.done > core::duration(0))
        end(run, jobs::run_end::broken);
    else if (clock_.now() - record.started_at > gang_patience)
        end(run, jobs::run_end::alone);
}

} // namespace sequoiaroute::soak
