#include "policy/admission.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace sequoiaroute::policy {

namespace {

// Requests last seconds, so a slot is likely to be free after one second.
constexpr core::duration no_free_slot_retry_after{1000};
constexpr core::duration no_requests_allowed_retry_after{60'000};

admission_refusal refuse(std::string message, core::duration retry_after)
{
    return {{core::result_code::limit_exceeded_not_run, std::move(message)},
            retry_after};
}

} // namespace

admission::slot::~slot()
{
    if (owner_ != nullptr)
        owner_->release(customer_);
}

int admission::per_entry_limit(int limit, int live_entries)
{
    if (limit <= 0)
        return 0;
    return std::max(1, limit / std::max(1, live_entries));
}

void admission::refill(usage& usage, double rate, core::time_point now)
{
    if (std::exchange(usage.is_new, false))
        usage.tokens = rate;
    auto const elapsed = std::chrono::duration<double>(
        std::max(core::duration{}, now - usage.refilled_at));
    usage.refilled_at = now;
    usage.tokens = std::min(rate, usage.tokens + elapsed.count() * rate);
}

std::variant<admission::slot, admission_refusal>
admission::admit(std::string_view customer, customer_limits const& limits,
                 int live_entries, core::time_point now)
{
    auto const rate = per_entry_limit(limits.requests_per_second, live_entries);
    auto const concurrency_limit =
        per_entry_limit(limits.concurrent_requests, live_entries);
    if (rate == 0 || concurrency_limit == 0) {
        return refuse(
            fmt::format("the rules allow no requests from customer {}",
                        customer),
            no_requests_allowed_retry_after);
    }
    using outcome = std::variant<slot, admission_refusal>;
    return usage_by_customer_.with_shard(customer, [&](auto& shard) -> outcome {
        auto& usage = shard[std::string(customer)];
        refill(usage, rate, now);
        if (usage.in_flight >= concurrency_limit) {
            return refuse(
                fmt::format("customer {} has {} concurrent requests at this "
                            "entry; the entry's share of the limit is {}",
                            customer, usage.in_flight, concurrency_limit),
                no_free_slot_retry_after);
        }
        if (usage.tokens < 1) {
            auto const wait_ms = (1 - usage.tokens) * 1000 / rate;
            return refuse(
                fmt::format("customer {} exceeds {} requests per second, this "
                            "entry's share of its rate limit",
                            customer, rate),
                core::duration(
                    static_cast<core::duration::rep>(std::ceil(wait_ms))));
        }
        usage.tokens -= 1;
        ++usage.in_flight;
        return slot(*this, std::string(customer));
    });
}

void admission::release(std::string_view customer)
{
    usage_by_customer_.with_shard(customer, [&](auto& shard) {
        --shard[std::string(customer)].in_flight;
    });
}

} // namespace sequoiaroute::policy
