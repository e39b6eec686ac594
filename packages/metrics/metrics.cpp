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

struct stage_description
{
    duration_metric what;
    char const* name;
    char const* help;
};

constexpr std::array<stage_description, 6> descriptions{{
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

prometheus::Histogram::BucketBoundaries const& buckets()
{
    static prometheus::Histogram::BucketBoundaries const seconds{
        0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};
    return seconds;
}

class registry
{
public:
    registry()
    {
        for (auto const& entry : descriptions) {
            families_[entry.what] = &prometheus::BuildHistogram()
                                         .Name(entry.name)
                                         .Help(entry.help)
                                         .Register(registry_);
        }
    }

    void observe(duration_metric what, std::string_view outcome,
                 core::duration taken)
    {
        std::lock_guard const lock(mutex_);
        auto& histogram = families_.at(what)->Add(
            {{"outcome", std::string(outcome)}}, buckets());
        constexpr double milliseconds = 1000;
        histogram.Observe(static_cast<double>(taken.count()) / milliseconds);
    }

    std::string text()
    {
        auto families = registry_.Collect();
        families.push_back(event_counters());
        return prometheus::TextSerializer().Serialize(families);
    }

private:
    static prometheus::MetricFamily event_counters()
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

void observe(duration_metric what, std::string_view outcome,
             core::duration taken)
{
    process_registry().observe(what, outcome, taken);
}

std::string text()
{
    return process_registry().text();
}

} // namespace sequoiaroute::metrics
