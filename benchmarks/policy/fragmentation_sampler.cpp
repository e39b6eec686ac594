#include "policy/fragmentation_sampler.hpp"

#include "policy/worker_topology.hpp"

#include <algorithm>

namespace sequoiaroute::benchmarks {

void fragmentation_sampler::sample(policy::cluster_view const& cluster,
                                   core::time_point now)
{
    if (now - sampled_at_ < std::chrono::minutes(1))
        return;
    using real_hours = std::chrono::duration<double, std::ratio<3600>>;
    auto const weight = real_hours(now - sampled_at_).count();
    sampled_at_ = now;
    policy::worker_topology const topology(cluster.workers);
    std::vector<policy::resources> free;
    free.reserve(cluster.workers.size());
    int total = 0;
    int idle = 0;
    for (auto const& worker : cluster.workers) {
        free.push_back(worker.free);
        total += worker.total.accelerators;
        idle += worker.free.accelerators;
    }
    auto shapes = topology.guarantees_as_jobs(cluster.rules);
    shapes.insert(shapes.end(), cluster.pending.begin(), cluster.pending.end());
    sampled_hours_ += weight;
    largest_free_block_sum_ +=
        weight * topology.largest_free_block(policy::adjacency::rack, free);
    stranded_sum_ += weight * topology.stranded_accelerators(shapes, free);
    utilisation_sum_ += weight * (total - idle) / total;
}

void fragmentation_sampler::write_means(measurements& result) const
{
    auto const hours = std::max(1e-9, sampled_hours_);
    result.largest_free_block = largest_free_block_sum_ / hours;
    result.stranded_accelerators = stranded_sum_ / hours;
    result.utilisation = utilisation_sum_ / hours;
}

} // namespace sequoiaroute::benchmarks
