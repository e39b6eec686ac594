#include "policy/admission.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace sequoiaroute::policy {
namespace {

using outcome = std::variant<admission::slot, admission_refusal>;

core::time_point at(int milliseconds)
{
    return core::time_point(core::duration(1'000'000 + milliseconds));
}

bool is_admitted(outcome const& outcome)
{
    return std::holds_alternative<admission::slot>(outcome);
}

// Guards against limits that grow with the number of entries.
TEST(admission, divides_limit_among_entries)
{
    EXPECT_EQ(admission::per_entry_limit(50, 2), 25);
    EXPECT_EQ(admission::per_entry_limit(1, 4), 1);
    EXPECT_EQ(admission::per_entry_limit(0, 4), 0);
}

// Guards against bursts above the rate limit and refusals without a retry
// delay.
TEST(admission, refuses_above_rate_with_retry_delay)
{
    admission subject;
    customer_limits const limits{.requests_per_second = 4};
    EXPECT_TRUE(is_admitted(subject.admit("press", limits, 2, at(0))));
    EXPECT_TRUE(is_admitted(subject.admit("press", limits, 2, at(0))));
    auto const third = subject.admit("press", limits, 2, at(0));
    ASSERT_FALSE(is_admitted(third));
    auto const& refusal = std::get<admission_refusal>(third);
    EXPECT_EQ(refusal.error.code, core::result_code::limit_exceeded_not_run);
    EXPECT_EQ(refusal.retry_after, core::duration(500));
    EXPECT_TRUE(is_admitted(subject.admit("other", limits, 2, at(0))));
    EXPECT_TRUE(is_admitted(subject.admit("press", limits, 2, at(500))));
}

// Guards against slots that are not released when their request ends.
TEST(admission, frees_concurrent_slot_when_request_ends)
{
    admission subject;
    customer_limits const limits{.requests_per_second = 100,
                                 .concurrent_requests = 1};
    {
        auto const first = subject.admit("press", limits, 1, at(0));
        EXPECT_TRUE(is_admitted(first));
        EXPECT_FALSE(is_admitted(subject.admit("press", limits, 1, at(10))));
    }
    EXPECT_TRUE(is_admitted(subject.admit("press", limits, 1, at(20))));
}

} // namespace
} // namespace sequoiaroute::policy
