#include "metrics/metrics.hpp"

#include "core/event_log.hpp"

#include <array>
#include <map>
#include <mutex>
#include <utility>

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace sequoiaroute::metrics {

namespace {

/// Name and help text of the histogram of a duration.
struct histogram_description
{
    duration_metric metric;
    char const* name;
    char const* help;
};

constexpr std::array<histogram_description, 6> descriptions{{
    {duration_metric::store_commit, "sequoiaroute_store_commit_seconds",
     "Time of a transaction of the store."},
    {duration_metric::store_read, "sequoiaroute_store_read_seconds",
     "Time of a reading of the store."},
    {duration_metric::customer_call, "sequoiaroute_customer_call_seconds",
     "Time from a customer's call to its answer."},
    {duration_metric::job_wait, "sequoiaroute_job_wait_seconds",
     "Time from a job's arrival to its first order."},
    {duration_metric::run_order, "sequoiaroute_run_order_seconds",
     "Time from an order to the executor's answer."},
    {duration_metric::decision, "sequoiaroute_decision_seconds",
     "Time of one round of the decider."},
}};

/// @return the upper bounds of the buckets, in seconds
prometheus::Histogram::BucketBoundaries const& bucket_bounds()
{
    static prometheus::Histogram::BucketBoundaries const seconds{
        0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};
    return seconds;
}

/// The metrics of the process.
class registry
{
public:
    registry()
    {
        for (auto const& description : descriptions) {
            families_[description.metric] = &prometheus::BuildHistogram()
                                                 .Name(description.name)
                                                 .Help(description.help)
                                                 .Register(registry_);
        }
    }

    void observe(duration_metric metric, std::string_view outcome,
                 core::duration elapsed)
    {
        std::lock_guard const lock(mutex_);
        auto& histogram = families_.at(metric)->Add(
            {{"outcome", std::string(outcome)}}, bucket_bounds());
        constexpr double milliseconds_per_second = 1000;
        histogram.Observe(static_cast<double>(elapsed.count()) /
                          milliseconds_per_second);
    }

    std::string text()
    {
        auto families = registry_.Collect();
        families.push_back(collect_event_counters());
        return prometheus::TextSerializer().Serialize(families);
    }

private:
    static prometheus::MetricFamily collect_event_counters()
    {
        prometheus::MetricFamily family;
        family.name = "sequoiaroute_events_total";
        family.help = "Events of the log, dropped lines included.";
        family.type = prometheus::MetricType::Counter;
        for (auto const& [event, count] : core::event_counts()) {
            prometheus::ClientMetric metric;
            metric.label.push_back({"event", event});
            metric.counter.value = static_cast<double>(count);
            family.metric.push_back(std::move(metric));
        }
        return family;
    }

    std::mutex mutex_;
    prometheus::Registry registry_;
    std::map<duration_metric, prometheus::Family<prometheus::Histogram>*>
        families_;
};

registry& process_registry()
{
    static registry instance;
    return instance;
}

} // namespace

void observe(duration_metric metric, std::string_view outcome,
             core::duration elapsed)
{
    process_registry().observe(metric, outcome, elapsed);
}

std::string text()
{
    return process_registry().text();
}

} // namespace sequoiaroute::metrics
