#pragma once

#include "core/clock.hpp"

#include <string>
#include <string_view>

/// Counters and histograms of this process, for monitoring systems. Labels
/// take few values; ids are found in the event log only.
namespace sequoiaroute::metrics {

/// What a histogram measures.
enum class duration_metric
{
    store_commit,  ///< a transaction, from sending to its answer
    store_read,    ///< a reading
    customer_call, ///< a customer's call, to its answer
    job_wait,      ///< from a job's arrival at the decider to its first order
    run_order,     ///< an order to an executor, to its answer
    decision,      ///< one round of the decider
};

/// Takes note of a duration.
/// @param what the duration_metric
/// @param outcome one of few words, such as "accepted"
/// @param taken the duration
void observe(duration_metric what, std::string_view outcome,
             core::duration taken);

/// @return all metrics in the text format that is scraped commonly, with a
///         counter for each type of event in the log
std::string text();

} // namespace sequoiaroute::metrics
