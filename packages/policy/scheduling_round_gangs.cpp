// The part of scheduling_round that frees workers for a waiting gang.

#include "policy/scheduling_round.hpp"

#include "policy/gang_fit.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::policy {

namespace {

/// Maximum accelerators of a job that may be moved.
constexpr int max_moved_accelerators = 4;
/// A job that is expected to end sooner is not moved.
constexpr core::duration min_remaining_time_to_move = std::chrono::minutes(10);

int accelerators_of(job_view const& job)
{
    return job.member.accelerators * job.members;
}

} // namespace

bool scheduling_round::try_gang(job_view const& job)
{
    // Jobs submitted after the gang were backfilled. They must not delay the
    // gang, even if they run longer than expected. The gang evicts only jobs
    // that come later in a total order of all jobs, so that two gangs cannot
    // evict each other in turn.
    auto const rank = [](job_view const& item) {
        return std::tuple(item.submitted_at, -accelerators_of(item),
                          std::string_view(item.job_id));
    };
    auto const is_backfilled = [&](running_job_view const& running) {
        return rank(running.job) > rank(job) && !running.job.is_urgent;
    };
    auto available = free_;
    planner().add_evictable(available, is_backfilled);
    if (auto const found = fit_.fit(job, available); found) {
        if (auto const victims =
                planner().plan(job, *found, free_, is_backfilled)) {
            evict(job, *victims, eviction_reason::defragmentation);
            allocate(job, *found);
            decision_.notes.push_back(
                {job.job_id, fmt::format("starts when {} have been freed",
                                         describe_need(job))});
            return true;
        }
    }
    if (try_moves(job))
        return true;
    reservation_ = gang_reservation::create(
        job, cluster_, topology_, free_, now_,
        [this](running_job_view const& running) {
            return history_.expected_remaining(running.job,
                                               now_ - running.started_at);
        });
    return false;
}

bool scheduling_round::try_moves(job_view const& job)
{
    if (moves_left_ <= 0 ||
        now_ - job.submitted_at < weights_.defragmentation_delay)
        return false;
    auto const is_movable = [&](running_job_view const& running) {
        return !running.job.is_urgent &&
               accelerators_of(running.job) <= max_moved_accelerators &&
               history_.expected_remaining(running.job,
                                           now_ - running.started_at) >=
                   min_remaining_time_to_move;
    };
    auto available = free_;
    planner().add_evictable(available, is_movable);
    auto const found = fit_.fit(job, available);
    if (!found)
        return false;
    auto const victims = planner().plan(job, *found, free_, is_movable);
    if (!victims || static_cast<int>(victims->size()) > moves_left_ ||
        !can_be_moved(*victims, *found))
        return false;
    moves_left_ -= static_cast<int>(victims->size());
    moves_ += static_cast<int>(victims->size());
    evict(job, *victims, eviction_reason::defragmentation);
    allocate(job, *found);
    decision_.notes.push_back(
        {job.job_id, fmt::format("starts when smaller jobs have been moved off "
                                 "{}",
                                 describe_need(job))});
    return true;
}

bool scheduling_round::can_be_moved(eviction_planner::victims const& victims,
                                    members const& members)
{
    auto available = free_;
    for (auto const worker : members)
        available[worker] = {};
    return std::all_of(victims.begin(), victims.end(), [&](auto index) {
        auto const& job = cluster_.running[index].job;
        auto const found = fit_.fit(job, available);
        if (!found)
            return false;
        for (auto const worker : *found)
            available[worker] = available[worker] - job.member;
        return true;
    });
}

} // namespace sequoiaroute::policy
