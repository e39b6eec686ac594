#pragma once

#include "core/clock.hpp"
#include "core/sharded_map.hpp"

#include <string_view>

namespace sequoiaroute::policy {

/// Limits the retries of each customer to a ratio of its recent requests, so
/// that retries cannot multiply the load while targets fail. Safe for
/// concurrent use.
class retry_budget
{
public:
    struct options
    {
        double retries_per_request = 0.1;
        /// Retries that are always allowed, so that a customer with few
        /// requests can retry at all.
        double min_retries = 3;
        /// Requests and retries are counted over the current and the previous
        /// window of this length.
        core::duration window{10'000};
    };

    retry_budget() = default;
    explicit retry_budget(options const& options) : options_(options) {}

    /// Counts a request, which adds retries_per_request to the budget.
    void record_request(std::string_view customer, core::time_point now);

    /// Consumes one retry from the budget.
    /// @return whether the budget allowed it; if not, nothing is consumed
    bool try_consume(std::string_view customer, core::time_point now);

private:
    struct counts
    {
        double requests = 0;
        double retries = 0;
    };
    struct customer_counts
    {
        core::time_point window_start{};
        counts current;
        counts previous;
    };

    /// Calls a function with a customer's counts, advanced to the window of
    /// now, while their lock is held.
    template <class Function>
    auto with_current_window(std::string_view customer, core::time_point now,
                             Function&& function);

    options options_;
    core::sharded_map<customer_counts> counts_by_customer_;
};

} // namespace sequoiaroute::policy
