#include "policy/retry_budget.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::policy {
namespace {

core::time_point at(int milliseconds)
{
    return core::time_point(core::duration(1'000'000 + milliseconds));
}

int consume_all(retry_budget& budget, core::time_point now)
{
    int consumed = 0;
    while (budget.try_consume("press", now))
        ++consumed;
    return consumed;
}

// Guards against retries that multiply the load while targets fail.
TEST(retry_budget, allows_a_tenth_of_requests)
{
    retry_budget budget;
    for (int request = 0; request < 80; ++request)
        budget.record_request("press", at(0));
    EXPECT_EQ(consume_all(budget, at(1)), 8);
    EXPECT_EQ(consume_all(budget, at(11'000)), 0);
}

// Guards against a customer that cannot retry because it sends few requests.
TEST(retry_budget, allows_minimum_again_after_window)
{
    retry_budget budget;
    EXPECT_EQ(consume_all(budget, at(0)), 3);
    EXPECT_EQ(consume_all(budget, at(30'000)), 3);
}

} // namespace
} // namespace sequoiaroute::policy
