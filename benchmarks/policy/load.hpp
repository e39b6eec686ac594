#pragma once

#include "policy/scheduling.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sequoiaroute::benchmarks {

/// A class of similar jobs in a load.
struct job_class
{
    std::string kind;
    double share = 0;            ///< of the arrivals
    std::vector<int> members{1}; ///< gang sizes to choose from at random
    policy::resources member{};  ///< needed by each member
    /// Accelerators per member to choose from at random; replaces the number
    /// in member.
    std::vector<int> accelerators{0};
    int cores_per_accelerator = 0; ///< replaces member.cores if not 0
    policy::adjacency within = policy::adjacency::any;
    double median_minutes = 10; ///< of the log-normal run time
    double sigma = 1;           ///< of the log-normal run time
    bool is_urgent = false;
    bool is_unrepeatable = false;
    bool is_overnight = false; ///< arrives between 18:00 and 22:00
    double deadline_hours = 0; ///< from submission; 0 means none
};

/// A fleet, its rules and a stochastic model of the arriving jobs.
struct load
{
    std::string name;  ///< short name, such as "a"
    std::string title; ///< heading in the report
    std::string mix;   ///< description of the arrivals for the report
    std::vector<policy::worker_view> workers;
    policy::rule_set rules;
    std::vector<double> customer_shares; ///< in the order of rules.customers
    std::vector<job_class> classes;
    double jobs_per_hour = 0; ///< mean, including bursts
    double days = 3;          ///< time during which jobs arrive
    double burst_factor = 5;  ///< arrival rate in a burst relative to outside
    int running_at_start = 0; ///< least number of tasks of the initial jobs
    int services = 0;         ///< number of one-task services that never end
    /// A job that is not urgent counts as large from this number of
    /// accelerators.
    int large_accelerators = 8;
};

/// A job that arrives, and properties of it that the policy does not see.
struct arrival
{
    policy::job_view job;
    core::duration run_time{};
    /// From submission to cancellation; max() if it is not cancelled.
    core::duration cancelled_after = core::duration::max();
    bool can_checkpoint = true;
};

/// @return the loads that the benchmark measures
std::vector<load> measured_loads();

/// Generates random arrivals of a load.
/// @param load the load
/// @param seed the seed; the same seed gives the same arrivals
/// @return the arrivals in order of submission; initial jobs and services have
///         submission time zero
std::vector<arrival> generate_arrivals(load const& load, std::uint64_t seed);

} // namespace sequoiaroute::benchmarks
