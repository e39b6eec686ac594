#pragma once

#include "core/clock.hpp"

#include <map>
#include <string>
#include <vector>

namespace sequoiaroute::benchmarks {

/// The results of one simulation of a load under a policy.
struct measurements
{
    /// Hours from submission to successful end, by class: urgent, large or
    /// rest.
    std::map<std::string, std::vector<double>> completion_hours;
    /// Time that started jobs waited for unused cells of a guarantee.
    std::vector<double> reclaim_seconds;
    std::vector<double> decision_microseconds; ///< CPU time of each round
    /// Time-weighted mean of the most free accelerators in one rack.
    double largest_free_block = 0;
    /// Time-weighted mean of the free accelerators that no pending or
    /// guaranteed shape can use.
    double stranded_accelerators = 0;
    double utilisation = 0;     ///< time-weighted mean share of accelerators
    double work_lost_hours = 0; ///< accelerator-hours lost to evictions
    double work_lost_to_moves_hours = 0; ///< accelerator-hours lost to moves
    int deadlines = 0;                   ///< succeeded jobs with a deadline
    int deadlines_missed = 0;
    int evictions = 0;
    int moves = 0; ///< evictions for defragmentation
    /// Violations of guarantees and of the rules for placements and evictions.
    int violations = 0;
    int rejected = 0;            ///< jobs that can never fit
    int unfinished = 0;          ///< jobs at the end of the simulation
    std::string first_violation; ///< description, empty if there is none
};

/// @param values the values in any order
/// @param share the quantile to compute, from 0 to 1
/// @return the quantile; 0 if there are no values
double quantile(std::vector<double> values, double share);

} // namespace sequoiaroute::benchmarks
