#include "policy/retry_budget.hpp"

#include <algorithm>

namespace sequoiaroute::policy {

template <class Function>
auto retry_budget::with_current_window(std::string_view customer,
                                       core::time_point now,
                                       Function&& function)
{
    return counts_by_customer_.with_shard(customer, [&](auto& shard) {
        auto& customer_counts = shard[std::string(customer)];
        auto const age = now - customer_counts.window_start;
        if (age >= options_.window) {
            auto const is_consecutive = age < 2 * options_.window;
            customer_counts.previous =
                is_consecutive ? customer_counts.current : counts{};
            customer_counts.current = {};
            customer_counts.window_start =
                is_consecutive ? customer_counts.window_start + options_.window
                               : now;
        }
        return function(customer_counts);
    });
}

void retry_budget::record_request(std::string_view customer,
                                  core::time_point now)
{
    with_current_window(customer, now, [](customer_counts& customer_counts) {
        customer_counts.current.requests += 1;
    });
}

bool retry_budget::try_consume(std::string_view customer, core::time_point now)
{
    return with_current_window(
        customer, now, [this](customer_counts& customer_counts) {
            auto const requests = customer_counts.current.requests +
                                  customer_counts.previous.requests;
            auto const retries = customer_counts.current.retries +
                                 customer_counts.previous.retries;
            auto const allowed = std::max(
                options_.min_retries, options_.retries_per_request * requests);
            if (retries + 1 > allowed)
                return false;
            customer_counts.current.retries += 1;
            return true;
        });
}

} // namespace sequoiaroute::policy
