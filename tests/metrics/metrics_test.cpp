#include "metrics/metrics.hpp"

#include "core/event_log.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::metrics {
namespace {

using namespace std::chrono_literals;

TEST(metrics, counts_events_and_buckets_durations)
{
    core::log_event("test_event", {});
    core::log_event("test_event", {});
    observe(duration_metric::customer_call, "accepted", 30ms);
    auto const exposition = text();
    EXPECT_NE(
        exposition.find("sequoiaroute_events_total{event=\"test_event\"} 2"),
        std::string::npos);
    EXPECT_NE(
        exposition.find("sequoiaroute_customer_call_seconds_bucket{outcome="
                        "\"accepted\",le=\"0.02\"} 0"),
        std::string::npos);
    EXPECT_NE(
        exposition.find("sequoiaroute_customer_call_seconds_bucket{outcome="
                        "\"accepted\",le=\"0.05\"} 1"),
        std::string::npos);
}

} // namespace
} // namespace sequoiaroute::metrics
