#pragma once

#include "core/clock.hpp"
#include "core/result.hpp"
#include "core/sharded_map.hpp"
#include "policy/rules.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace sequoiaroute::policy {

/// The error of a request that is not admitted, and the delay after which the
/// client should retry.
struct admission_refusal
{
    core::error error;
    core::duration retry_after{};
};

/// Limits the request rate and the concurrent requests of each customer at one
/// entry. The rate is limited by a token bucket that holds the tokens of one
/// second. Safe for concurrent use; must outlive its slots.
class admission
{
public:
    /// Counts as one concurrent request of a customer until it is destroyed.
    class slot
    {
    public:
        slot(admission& owner, std::string customer)
            : owner_(&owner), customer_(std::move(customer))
        {
        }
        slot(slot&& other) noexcept
            : owner_(std::exchange(other.owner_, nullptr)),
              customer_(std::move(other.customer_))
        {
        }
        slot(slot const&) = delete;
        slot& operator=(slot const&) = delete;
        slot& operator=(slot&&) = delete;
        ~slot();

    private:
        admission* owner_;
        std::string customer_;
    };

    /// Admits or refuses a request.
    /// @param customer the sender
    /// @param limits the customer's limits, over all entries
    /// @param live_entries number of entries that share the limits
    /// @param now the current time
    /// @return the slot, to be held until the request ends, or the refusal
    std::variant<slot, admission_refusal> admit(std::string_view customer,
                                                customer_limits const& limits,
                                                int live_entries,
                                                core::time_point now);

    /// @return one entry's share of a limit, rounded down: at least 1, unless
    ///         the limit is 0
    static int per_entry_limit(int limit, int live_entries);

private:
    struct usage
    {
        double tokens = 0;
        bool is_new = true; ///< the first refill fills the bucket
        core::time_point refilled_at{};
        int in_flight = 0; ///< concurrent requests
    };

    /// @param rate tokens per second, and the size of the bucket
    static void refill(usage& usage, double rate, core::time_point now);
    void release(std::string_view customer);

    core::sharded_map<usage> usage_by_customer_;
};

} // namespace sequoiaroute::policy
