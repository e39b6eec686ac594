#pragma once

#include "core/clock.hpp"
#include "core/sharded_map.hpp"

#include <string_view>

namespace sequoiaroute::policy {

/// Bounds the retries of each customer to a share of its recent requests, so
/// that retries cannot multiply the load while targets fail.
class retry_budget
{
public:
    struct options
    {
        double share = 0.1;
        /// Lets a customer with few requests retry at all.
        double minimum = 3;
        /// Requests and retries are counted over this window and the one
        /// before it.
        core::duration window{10'000};
    };

    retry_budget() = default;
    explicit retry_budget(options const& options) : options_(options) {}

    /// Counts a request, which earns a share of a retry.
    void record_request(std::string_view customer, core::time_point now);

    /// Takes a token for one retry.
    /// @return whether the customer had one left
    bool try_consume(std::string_view customer, core::time_point now);

private:
    struct usage
    {
        double requests = 0;
        double retries = 0;
    };
    struct account
    {
        core::time_point window_start{};
        usage current;
        usage previous;
    };

    template <class Function>
    auto with_account(std::string_view customer, core::time_point now,
                      Function&& function);

    options options_;
    core::sharded_map<account> accounts_;
};

} // namespace sequoiaroute::policy
