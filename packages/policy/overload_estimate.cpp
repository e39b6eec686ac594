#include "policy/overload_estimate.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::policy {

namespace {

constexpr core::duration overload_retry_after{1000};
// An agent announces a new target within one report period.
constexpr core::duration no_target_retry_after{5000};

bool has_executor(std::span<executor_view const> executors,
                  std::string_view service)
{
    return std::ranges::any_of(executors, [&](auto const& executor) {
        return target_selection::accepts(executor, service);
    });
}

} // namespace

int overload_estimate::remaining_capacity(
    std::span<executor_view const> executors, std::string_view service,
    int waiting_requests)
{
    int capacity = -waiting_requests;
    for (auto const& executor : executors) {
        if (target_selection::accepts(executor, service))
            capacity += std::max(0, executor.free_slots) + queue_per_executor;
    }
    return std::max(0, capacity);
}

std::optional<admission_refusal>
overload_estimate::refusal(std::span<executor_view const> executors,
                           std::string_view service, int waiting_requests)
{
    if (!has_executor(executors, service)) {
        return admission_refusal{
            {core::result_code::no_target_not_run,
             fmt::format("no executor of service {} accepts work", service)},
            no_target_retry_after};
    }
    if (remaining_capacity(executors, service, waiting_requests) > 0)
        return std::nullopt;
    return admission_refusal{
        {core::result_code::overloaded_not_run,
         fmt::format("all slots of service {} are in use and {} requests wait",
                     service, waiting_requests)},
        overload_retry_after};
}

} // namespace sequoiaroute::policy
