#include "event/connection_pool.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiaroute::event {
namespace {

class mock_connection : public pooled_connection
{
public:
    MOCK_METHOD(void, evict, (), (override));
};

using connection_mock = testing::StrictMock<mock_connection>;

class connection_pool_test : public testing::Test
{
public:
    connection_pool pool{{.connections = 2, .buffered_bytes = 100}};
    connection_mock first;
    connection_mock second;
    connection_mock third;
};

// Guards against a sum of requests, each within the limits, that takes all
// memory.
TEST_F(connection_pool_test, closes_the_connection_that_holds_most)
{
    pool.add(first);
    pool.add(second);
    EXPECT_TRUE(pool.update(first, connection_phase::receiving, 70));
    EXPECT_TRUE(pool.update(second, connection_phase::receiving, 30));
    EXPECT_CALL(first, evict());
    EXPECT_TRUE(pool.update(second, connection_phase::receiving, 31));
    EXPECT_EQ(pool.connections(), 1U);
    EXPECT_EQ(pool.held_bytes(), 31U);
}

// Guards against a large request that displaces small ones.
TEST_F(connection_pool_test, lets_the_largest_request_give_way)
{
    pool.add(first);
    pool.add(second);
    EXPECT_TRUE(pool.update(first, connection_phase::receiving, 30));
    EXPECT_FALSE(pool.update(second, connection_phase::receiving, 71));
    pool.remove(second);
    EXPECT_EQ(pool.held_bytes(), 30U);
}

// Guards against a request whose outcome is left open while it is handled.
TEST_F(connection_pool_test, keeps_connections_whose_request_is_handled)
{
    pool.add(first);
    pool.add(second);
    EXPECT_TRUE(pool.update(first, connection_phase::handling, 90));
    EXPECT_FALSE(pool.update(second, connection_phase::handling, 20));
    EXPECT_FALSE(pool.add(third));
    EXPECT_TRUE(pool.update(second, connection_phase::idle, 0));
    EXPECT_CALL(second, evict());
    EXPECT_TRUE(pool.add(third));
}

// Guards against a crowd of connections that keeps ordinary callers out.
TEST_F(connection_pool_test, closes_idle_connections_for_new_ones)
{
    pool.add(first);
    pool.add(second);
    EXPECT_TRUE(pool.update(first, connection_phase::receiving, 1));
    EXPECT_CALL(second, evict());
    EXPECT_TRUE(pool.add(third));
    EXPECT_TRUE(pool.update(third, connection_phase::responding, 1));
    EXPECT_CALL(first, evict());
    EXPECT_TRUE(pool.add(second));
    EXPECT_EQ(pool.connections(), 2U);
}

} // namespace
} // namespace sequoiaroute::event
