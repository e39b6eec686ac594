#pragma once

#include "policy/measurements.hpp"
#include "policy/scheduling.hpp"

namespace sequoiaroute::benchmarks {

/// Computes time-weighted means of fragmentation and utilisation.
class fragmentation_sampler
{
public:
    /// Adds a sample, weighted by the time since the last one. Does nothing if
    /// the last sample is less than a minute old.
    /// @param cluster the state of the cluster
    /// @param now the simulated time
    void sample(policy::cluster_view const& cluster, core::time_point now);

    /// Sets the means in the measurements of the run.
    void write_means(measurements& result) const;

private:
    core::time_point sampled_at_{};
    double sampled_hours_ = 0; ///< sum of the weights of the sums below
    double largest_free_block_sum_ = 0;
    double stranded_sum_ = 0;
    double utilisation_sum_ = 0;
};

} // namespace sequoiaroute::benchmarks
