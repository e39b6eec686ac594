#include "core/backoff.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::core {
namespace {

using namespace std::chrono_literals;

// Guards against retries without a delay while the store is down; each call to
// the store is billed.
TEST(backoff, doubles_up_to_the_maximum_and_restarts_after_reset)
{
    backoff delays(100ms, 300ms);
    EXPECT_EQ(delays.next(), 100ms);
    EXPECT_EQ(delays.next(), 200ms);
    EXPECT_EQ(delays.next(), 300ms);
    EXPECT_EQ(delays.next(), 300ms);
    delays.reset();
    EXPECT_EQ(delays.next(), 100ms);
}

} // namespace
} // namespace sequoiaroute::core
