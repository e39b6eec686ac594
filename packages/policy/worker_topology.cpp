#include "policy/worker_topology.hpp"

#include "policy/gang_fit.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include <absl/container/flat_hash_map.h>

namespace sequoiaroute::policy {

worker_topology::worker_topology(std::span<worker_view const> workers)
    : workers_(workers), worker_groups_(workers.size()), fleet_(1),
      rack_of_(workers.size()), data_centre_of_(workers.size())
{
    using rack_name = std::pair<std::string_view, std::string_view>;
    absl::flat_hash_map<rack_name, std::size_t> racks;
    absl::flat_hash_map<std::string_view, std::size_t> data_centres;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        auto const& worker = workers[index];
        rack_of_[index] =
            racks.try_emplace({worker.data_centre, worker.rack}, racks.size())
                .first->second;
        data_centre_of_[index] =
            data_centres.try_emplace(worker.data_centre, data_centres.size())
                .first->second;
        rack_groups_.resize(racks.size());
        data_centre_groups_.resize(data_centres.size());
        worker_groups_[index].push_back(index);
        rack_groups_[rack_of_[index]].push_back(index);
        data_centre_groups_[data_centre_of_[index]].push_back(index);
        fleet_[0].push_back(index);
    }
}

std::span<worker_topology::group const>
worker_topology::groups(adjacency level) const
{
    switch (level) {
    case adjacency::worker:
        return worker_groups_;
    case adjacency::rack:
        return rack_groups_;
    case adjacency::data_centre:
        return data_centre_groups_;
    case adjacency::any:
        return fleet_;
    }
    return fleet_;
}

std::size_t worker_topology::group_of(std::size_t worker, adjacency level) const
{
    switch (level) {
    case adjacency::worker:
        return worker;
    case adjacency::rack:
        return rack_of_[worker];
    case adjacency::data_centre:
        return data_centre_of_[worker];
    case adjacency::any:
        return 0;
    }
    return 0;
}

int worker_topology::count_free_groups(adjacency level,
                                       std::span<resources const> free) const
{
    auto const is_free = [&](std::size_t index) {
        auto const& worker = workers_[index];
        return worker.accepts_work &&
               free[index].accelerators >= worker.total.accelerators;
    };
    auto const has_accelerators = [&](std::size_t index) {
        return workers_[index].total.accelerators > 0;
    };
    int count = 0;
    for (auto const& group : groups(level)) {
        if (std::any_of(group.begin(), group.end(), has_accelerators) &&
            std::all_of(group.begin(), group.end(), is_free))
            ++count;
    }
    return count;
}

int worker_topology::largest_free_block(adjacency within,
                                        std::span<resources const> free) const
{
    int largest = 0;
    for (auto const& group : groups(within)) {
        int sum = 0;
        for (auto const index : group) {
            if (workers_[index].accepts_work)
                sum += std::max(0, free[index].accelerators);
        }
        largest = std::max(largest, sum);
    }
    return largest;
}

int worker_topology::stranded_accelerators(
    std::span<job_view const> shapes, std::span<resources const> free) const
{
    std::vector<int> usable(workers_.size());
    for (auto const& shape : shapes) {
        if (shape.member.accelerators == 0)
            continue;
        for (auto const& group : groups(shape.within)) {
            int fitting = 0;
            for (auto const index : group) {
                if (workers_[index].accepts_work)
                    fitting += members_that_fit(free[index], shape.member);
            }
            if (fitting < shape.members)
                continue;
            for (auto const index : group) {
                auto const available =
                    members_that_fit(free[index], shape.member) *
                    shape.member.accelerators;
                usable[index] = std::max(usable[index], available);
            }
        }
    }
    int stranded = 0;
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        if (workers_[index].accepts_work)
            stranded += std::max(0, free[index].accelerators - usable[index]);
    }
    return stranded;
}

std::vector<job_view>
worker_topology::guarantees_as_jobs(rule_set const& rules) const
{
    resources per_accelerator{1 << 20, 1 << 30, 1};
    for (auto const& worker : workers_) {
        auto const count = worker.total.accelerators;
        if (count == 0)
            continue;
        per_accelerator.cores =
            std::min(per_accelerator.cores, worker.total.cores / count);
        per_accelerator.memory_megabytes =
            std::min(per_accelerator.memory_megabytes,
                     worker.total.memory_megabytes / count);
    }
    std::vector<job_view> jobs;
    for (auto const& [name, customer] : rules.customers) {
        for (auto const& shape : customer.guarantees) {
            job_view job;
            job.job_id = "guarantee of " + name;
            job.customer = name;
            job.member = per_accelerator;
            job.members = shape.accelerators_per_cell;
            job.within = shape.within;
            jobs.push_back(std::move(job));
        }
    }
    return jobs;
}

resources operator+(resources const& left, resources const& right)
{
    return {left.cores + right.cores,
            left.memory_megabytes + right.memory_megabytes,
            left.accelerators + right.accelerators};
}

resources operator-(resources const& left, resources const& right)
{
    return {left.cores - right.cores,
            left.memory_megabytes - right.memory_megabytes,
            left.accelerators - right.accelerators};
}

resources operator*(resources const& amount, int count)
{
    return {amount.cores * count, amount.memory_megabytes * count,
            amount.accelerators * count};
}

} // namespace sequoiaroute::policy
