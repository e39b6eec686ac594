#include "rows/table_replica.hpp"
#include "support/memory_row_store.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::rows {
namespace {

using namespace std::chrono_literals;
using support::memory_row_store;

class table_replica_test : public testing::Test
{
public:
    table_replica_test()
        : store(timers),
          replica(store, timers, {"jobs", 500ms, 0ms, {}},
                  [this](row const& changed) {
                      seen.push_back((changed.is_removed ? "-" : "+") +
                                     changed.key.key);
                  })
    {
    }

    static row_key key(std::string name)
    {
        return {"jobs", "p", std::move(name)};
    }

    support::manual_timers timers;
    memory_row_store store;
    std::vector<std::string> seen;
    table_replica replica;
};

TEST_F(table_replica_test, reads_the_table_and_follows_changes)
{
    store.put(key("a"), "1");
    replica.start();
    timers.advance(10ms);
    store.put(key("b"), "2");
    timers.advance(10ms);
    EXPECT_EQ(seen, (std::vector<std::string>{"+a", "+b"}));
}

// Guards against a removal that is lost with the store's history.
TEST_F(table_replica_test, finds_removals_after_the_history_was_dropped)
{
    store.put(key("a"), "1");
    store.put(key("b"), "1");
    replica.start();
    timers.advance(10ms);
    seen.clear();
    store.reads = memory_row_store::fault::silent;
    timers.advance(600ms);
    store.commit({{}, {}, {key("a")}}, 100ms, [](auto const&) {});
    store.put(key("c"), "1");
    store.drop_history();
    store.reads = memory_row_store::fault::none;
    timers.advance(1s);
    EXPECT_EQ(seen, (std::vector<std::string>{"-a", "+c"}));
    EXPECT_FALSE(replica.rows().contains(key("a")));
}

// Guards against a row that is missed because its part appears while the table
// is being read.
TEST_F(table_replica_test, finds_a_part_that_appears_while_it_loads)
{
    replica.start();
    store.put(key("a"), "1");
    timers.advance(1ms);
    store.put({"jobs", "q", "b"}, "1");
    timers.advance(100ms);
    EXPECT_EQ(replica.rows().size(), 2U);
}

// Guards against a copy that is taken for current while the store is silent.
TEST_F(table_replica_test, grows_old_while_the_store_is_silent)
{
    replica.start();
    timers.advance(10ms);
    ASSERT_TRUE(replica.is_loaded());
    store.reads = memory_row_store::fault::silent;
    timers.advance(5s);
    EXPECT_GT(replica.age(), 4s);
    store.reads = memory_row_store::fault::none;
    timers.advance(2s);
    EXPECT_LT(replica.age(), 1500ms);
}

// Load: the feed hears nothing for a second while rows are written.
TEST_F(table_replica_test, takes_an_announced_row_before_the_feed_has_it)
{
    replica.start();
    timers.advance(10ms);
    store.reads = memory_row_store::fault::silent;
    store.put(key("a"), "1");
    replica.apply_announced(*store.find(key("a")));
    EXPECT_EQ(replica.rows().size(), 1U);
    store.reads = memory_row_store::fault::none;
    timers.advance(2s);
    EXPECT_EQ(seen, (std::vector<std::string>{"+a"}));
}

// Guards against an order that is carried out again because its announcement
// arrives after its removal.
TEST_F(table_replica_test, leaves_out_an_announced_row_that_was_removed)
{
    replica.start();
    store.put(key("a"), "1");
    auto const announced = *store.find(key("a"));
    store.commit({{}, {}, {key("a")}}, 100ms, [](auto const&) {});
    timers.advance(10ms);
    seen.clear();
    replica.apply_announced(announced);
    EXPECT_TRUE(seen.empty());
    EXPECT_TRUE(replica.rows().empty());
}

} // namespace
} // namespace sequoiaroute::rows
