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
    policy::worker_topology const tree(cluster.workers);
    std::vector<policy::resources> free;
    free.reserve(cluster.workers.size());
    int total = 0;
    int idle = 0;
    for (auto const& worker : cluster.workers) {
        free.push_back(worker.free);
        total += worker.total.accelerators;
        idle += worker.free.accelerators;
    }
    auto shapes = tree.guarantees_as_jobs(cluster.rules);
    shapes.insert(shapes.end(), cluster.pending.begin(), cluster.pending.end());
    hours_ += weight;
    largest_shape_ +=
        weight * tree.largest_free_block(policy::adjacency::rack, free);
    stranded_ += weight * tree.stranded_accelerators(shapes, free);
    utilisation_ += weight * (total - idle) / total;
}

void fragmentation_sampler::write(measurements& result) const
{
    auto const hours = std::max(1e-9, hours_);
    result.largest_shape = largest_shape_ / hours;
    result.stranded = stranded_ / hours;
    result.utilisation = utilisation_ / hours;
}

} // namespace sequoiaroute::benchmarks
