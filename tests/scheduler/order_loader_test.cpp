#include "scheduler/order_loader.hpp"

#include "jobs/row_codec.hpp"
#include "rows/row_layout.hpp"
#include "support/memory_row_store.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::scheduler {
namespace {

using namespace std::chrono_literals;
using support::memory_row_store;

class order_loader_test : public testing::Test
{
public:
    order_loader_test() : store(timers) {}

    void put_order(std::string const& agent)
    {
        jobs::run_order order;
        order.run = {{"j", 0, 0, 0}, 1};
        order.agent = agent;
        store.put(rows::layout::order_row(agent, to_text(order.run)),
                  jobs::encode(order));
    }

    support::manual_timers timers;
    memory_row_store store;
    int loaded_count = 0;
};

TEST_F(order_loader_test, reads_the_orders_of_all_tables)
{
    for (auto const* agent : {"a", "b", "c", "d", "e"})
        put_order(agent);
    order_loader loader(store, timers, 1, [this] { ++loaded_count; });
    loader.start();
    EXPECT_FALSE(loader.is_loaded());
    timers.advance(1s);
    EXPECT_TRUE(loader.is_loaded());
    EXPECT_EQ(loaded_count, 1);
    EXPECT_EQ(loader.take_orders().size(), 5U);
}

// Guards against a decider that works with stale orders: after the store has
// dropped its history, a read may be older than the lease.
TEST_F(order_loader_test, rereads_a_stale_page)
{
    put_order("a");
    put_order("b");
    store.table_read_as_empty = rows::layout::order_table_of("a");
    order_loader loader(store, timers, 2, [this] { ++loaded_count; });
    loader.start();
    timers.advance(1s);
    EXPECT_FALSE(loader.is_loaded());
    store.table_read_as_empty.clear();
    timers.advance(1s);
    EXPECT_TRUE(loader.is_loaded());
    EXPECT_EQ(loader.take_orders().size(), 2U);
}

// Guards against a table that is treated as empty because the store rejected
// the read.
TEST_F(order_loader_test, retries_a_rejected_read)
{
    put_order("a");
    store.reads = memory_row_store::fault::refused;
    order_loader loader(store, timers, 1, [this] { ++loaded_count; });
    loader.start();
    timers.advance(1s);
    EXPECT_FALSE(loader.is_loaded());
    store.reads = memory_row_store::fault::none;
    timers.advance(1s);
    EXPECT_EQ(loader.take_orders().size(), 1U);
}

// Guards against one row that cannot be decoded and prevents all orders from
// being loaded.
TEST_F(order_loader_test, skips_an_order_that_cannot_be_decoded)
{
    put_order("a");
    store.put(rows::layout::order_row("a", "other"), "not an order");
    order_loader loader(store, timers, 1, [this] { ++loaded_count; });
    loader.start();
    timers.advance(1s);
    EXPECT_TRUE(loader.is_loaded());
    EXPECT_EQ(loader.take_orders().size(), 1U);
}

} // namespace
} // namespace sequoiaroute::scheduler
