#include "policy/cluster_simulator.hpp"

#include "policy/worker_topology.hpp"

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

namespace sequoiaroute::policy {

namespace {
constexpr core::duration step_length = std::chrono::minutes(1);
} // namespace

void cluster_simulator::add_worker(std::string rack, std::string data_centre,
                                   resources total)
{
    workers.push_back({.worker_id = "w" + std::to_string(workers.size()),
                       .data_centre = std::move(data_centre),
                       .rack = std::move(rack),
                       .total = total,
                       .free = total});
}

void cluster_simulator::guarantee(std::string const& customer,
                                  guaranteed_shape shape)
{
    rules.customers[customer].customer = customer;
    rules.customers[customer].guarantees.push_back(shape);
}

job_view& cluster_simulator::submit(std::string customer, int members,
                                    resources member, adjacency within,
                                    core::duration run_time)
{
    job_view job;
    job.job_id = "j" + std::to_string(submitted_jobs_++);
    job.customer = std::move(customer);
    job.kind = "k";
    job.member = member;
    job.members = members;
    job.within = within;
    job.submitted_at = now_;
    job.deadline = core::time_point::max();
    remaining_run_times_[job.job_id] = run_time;
    return pending.emplace_back(std::move(job));
}

bool cluster_simulator::is_pending(std::string const& job_id) const
{
    return std::any_of(pending.begin(), pending.end(),
                       [&](auto const& job) { return job.job_id == job_id; });
}

bool cluster_simulator::is_running(std::string const& job_id) const
{
    return std::any_of(running.begin(), running.end(), [&](auto const& item) {
        return item.job.job_id == job_id;
    });
}

void cluster_simulator::release(running_job_view const& job)
{
    for (auto const worker : job.members)
        workers[worker].free = workers[worker].free + job.job.member;
}

void cluster_simulator::apply(placement const& placement)
{
    auto const found =
        std::find_if(pending.begin(), pending.end(), [&](auto const& job) {
            return job.job_id == placement.job_id;
        });
    ASSERT_NE(found, pending.end()) << placement.job_id;
    ASSERT_EQ(placement.members.size(),
              static_cast<std::size_t>(found->members));
    std::set<std::string> groups;
    for (auto const index : placement.members) {
        auto& worker = workers[index];
        ASSERT_TRUE(worker.accepts_work);
        worker.free = worker.free - found->member;
        ASSERT_GE(worker.free.accelerators, 0);
        ASSERT_GE(worker.free.cores, 0);
        ASSERT_GE(worker.free.memory_megabytes, 0);
        if (found->within == adjacency::worker)
            groups.insert(worker.worker_id);
        if (found->within == adjacency::rack)
            groups.insert(worker.data_centre + '/' + worker.rack);
        if (found->within == adjacency::data_centre)
            groups.insert(worker.data_centre);
    }
    ASSERT_LE(groups.size(), 1U);
    running.push_back({.job = *found,
                       .members = placement.members,
                       .started_at = now_,
                       .is_borrowing = placement.is_borrowing});
    pending.erase(found);
}

void cluster_simulator::apply(eviction const& eviction)
{
    auto const found =
        std::find_if(running.begin(), running.end(), [&](auto const& item) {
            return item.job.job_id == eviction.job_id;
        });
    ASSERT_NE(found, running.end());
    ASSERT_TRUE(found->is_borrowing) << eviction.job_id;
    ASSERT_FALSE(found->job.is_unrepeatable) << eviction.job_id;
    ASSERT_FALSE(found->is_stopping) << eviction.job_id;
    found->is_stopping = true;
    ++evictions;
}

void cluster_simulator::step(placement_policy& policy)
{
    std::vector<running_job_view> still_running;
    for (auto& item : running) {
        auto& remaining = remaining_run_times_[item.job.job_id];
        remaining -= step_length;
        if (remaining > core::duration{} && !item.is_stopping) {
            still_running.push_back(item);
            continue;
        }
        release(item);
        if (remaining > core::duration{})
            pending.push_back(item.job);
        else
            policy.observe_end(item.job, now_ - item.started_at, true);
    }
    running = std::move(still_running);
    now_ += step_length;
    last_decision = policy.decide(view(), now_);
    for (auto const& placement : last_decision.placements)
        apply(placement);
    for (auto const& eviction : last_decision.evictions)
        apply(eviction);
    for (auto const& rejection : last_decision.rejections)
        std::erase_if(pending, [&](auto const& job) {
            return job.job_id == rejection.job_id;
        });
}

} // namespace sequoiaroute::policy
