#include "core/backoff.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::core {
namespace {

using namespace std::chrono_literals;

// Guards against calls without pause to a store that is down; each is paid for.
TEST(backoff, doubles_up_to_its_bound_and_begins_anew)
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
