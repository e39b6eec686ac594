#include "policy/retry_budget.hpp"

#include <algorithm>

namespace sequoiaroute::policy {

template <class Function>
auto retry_budget::with_account(std::string_view customer, core::time_point now,
                                Function&& function)
{
    return accounts_.with_shard(customer, [&](auto& shard) {
        auto& account = shard[std::string(customer)];
        auto const age = now - account.window_start;
        if (age >= options_.window) {
            auto const is_adjacent = age < 2 * options_.window;
            account.previous = is_adjacent ? account.current : usage{};
            account.current = {};
            account.window_start =
                is_adjacent ? account.window_start + options_.window : now;
        }
        return function(account);
    });
}

void retry_budget::record_request(std::string_view customer,
                                  core::time_point now)
{
    with_account(customer, now,
                 [](account& account) { account.current.requests += 1; });
}

bool retry_budget::try_consume(std::string_view customer, core::time_point now)
{
    return with_account(customer, now, [this](account& account) {
        auto const requests =
            account.current.requests + account.previous.requests;
        auto const retries = account.current.retries + account.previous.retries;
        auto const allowed =
            std::max(options_.minimum, options_.share * requests);
        if (retries + 1 > allowed)
            return false;
        account.current.retries += 1;
        return true;
    });
}

} // namespace sequoiaroute::policy
