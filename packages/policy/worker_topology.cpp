#include "policy/worker_topology.hpp"

#include "policy/gang_fit.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include <absl/container/flat_hash_map.h>

namespace sequoiaroute::policy {

worker_topology::worker_topology(std::span<worker_view const> workers)
    : workers_(workers), by_worker_(workers.size()), whole_(1),
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
        by_rack_.resize(racks.size());
        by_data_centre_.resize(data_centres.size());
        by_worker_[index].push_back(index);
        by_rack_[rack_of_[index]].push_back(index);
        by_data_centre_[data_centre_of_[index]].push_back(index);
        whole_[0].push_back(index);
    }
}

std::span<worker_topology::group const>
worker_topology::groups(adjacency level) const
{
    switch (level) {
    case adjacency::worker:
        return by_worker_;
    case adjacency::rack:
        return by_rack_;
    case adjacency::data_centre:
        return by_data_centre_;
    case adjacency::any:
        return whole_;
    }
    return whole_;
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

int worker_topology::free_cells(adjacency level,
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
    for (auto const& cell : groups(level)) {
        if (std::any_of(cell.begin(), cell.end(), has_accelerators) &&
            std::all_of(cell.begin(), cell.end(), is_free))
            ++count;
    }
    return count;
}

int worker_topology::largest_free_block(adjacency within,
                                        std::span<resources const> free) const
{
    int largest = 0;
    for (auto const& cell : groups(within)) {
        int sum = 0;
        for (auto const index : cell) {
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
        for (auto const& cell : groups(shape.within)) {
            int fitting = 0;
            for (auto const index : cell) {
                if (workers_[index].accepts_work)
                    fitting += members_that_fit(free[index], shape.member);
            }
            if (fitting < shape.members)
                continue;
            for (auto const index : cell) {
                auto const room = members_that_fit(free[index], shape.member) *
                                  shape.member.accelerators;
                usable[index] = std::max(usable[index], room);
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
    resources share{1 << 20, 1 << 30, 1};
    for (auto const& worker : workers_) {
        auto const count = worker.total.accelerators;
        if (count == 0)
            continue;
        share.cores = std::min(share.cores, worker.total.cores / count);
        share.memory_megabytes = std::min(
            share.memory_megabytes, worker.total.memory_megabytes / count);
    }
    std::vector<job_view> jobs;
    for (auto const& [name, customer] : rules.customers) {
        for (auto const& shape : customer.guarantees) {
            job_view job;
            job.job_id = "guarantee of " + name;
            job.customer = name;
            job.member = share;
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
