#pragma once

#include "core/clock.hpp"

#include <string>
#include <string_view>

/// Prometheus metrics of this process. Labels have few distinct values, which
/// bounds the number of time series; ids appear in the event log only.
namespace sequoiaroute::metrics {

/// The durations that are recorded, each in a histogram.
enum class duration_metric
{
    store_commit,  ///< from sending a transaction to the response of the store
    store_read,    ///< from sending a read to the response of the store
    customer_call, ///< from the call of a customer to the response
    job_wait,      ///< from a job's arrival at the decider to its first order
    run_order,     ///< from an order to the response of the executor
    decision,      ///< one round of the decider
};

/// Adds a duration to a histogram. Several threads may call it.
/// @param metric the histogram
/// @param outcome the value of the label "outcome", one of a few words such as
///        "accepted"
/// @param elapsed the duration
void observe(duration_metric metric, std::string_view outcome,
             core::duration elapsed);

/// @return all metrics in the text format of Prometheus, including a counter of
///         the events of the log by type
std::string text();

} // namespace sequoiaroute::metrics
