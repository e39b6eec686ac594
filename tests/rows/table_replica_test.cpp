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
          replica(store, timers, {"jobs", 500ms, 0ms, {}, {"known"}},
                  [this](row const& changed) {
                      observed.push_back((changed.is_removed ? "-" : "+") +
                                         changed.key.key);
                  })
    {
    }

    static row_key key(std::string name)
    {
        return {"jobs", "p", std::move(name)};
    }

    /// Changes a row while the feed does not respond, and drops the history, so
    /// that the replica has to read the table again.
    void lose_history()
    {
        store.reads = memory_row_store::fault::silent;
        timers.advance(600ms);
        store.put(key("c"), "1");
        store.drop_history();
        store.reads = memory_row_store::fault::none;
    }

    support::manual_timers timers;
    memory_row_store store;
    std::vector<std::string> observed;
    table_replica replica;
};

TEST_F(table_replica_test, reads_the_table_and_follows_changes)
{
    store.put(key("a"), "1");
    replica.start();
    timers.advance(10ms);
    store.put(key("b"), "2");
    timers.advance(10ms);
    EXPECT_EQ(observed, (std::vector<std::string>{"+a", "+b"}));
}

// Guards against missing a removal that the store no longer has in its history.
TEST_F(table_replica_test, applies_removals_after_the_history_was_dropped)
{
    store.put(key("a"), "1");
    store.put(key("b"), "1");
    replica.start();
    timers.advance(10ms);
    observed.clear();
    store.reads = memory_row_store::fault::silent;
    timers.advance(600ms);
    store.commit({{}, {}, {key("a")}}, 100ms, [](auto const&) {});
    store.put(key("c"), "1");
    store.drop_history();
    store.reads = memory_row_store::fault::none;
    timers.advance(1s);
    EXPECT_EQ(observed, (std::vector<std::string>{"-a", "+c"}));
    EXPECT_FALSE(replica.rows().contains(key("a")));
}

// Guards against an order that is carried out again because a read from before
// its removal brings it back.
TEST_F(table_replica_test, brings_back_no_removed_row_from_a_stale_read)
{
    store.put(key("a"), "1");
    replica.start();
    timers.advance(10ms);
    store.keep_state_for_stale_reads();
    store.are_reads_stale = true;
    store.commit({{}, {}, {key("a")}}, 100ms, [](auto const&) {});
    timers.advance(10ms);
    observed.clear();
    lose_history();
    timers.advance(2s);
    EXPECT_TRUE(observed.empty());
    store.are_reads_stale = false;
    timers.advance(1s);
    EXPECT_EQ(observed, (std::vector<std::string>{"+c"}));
}

// Guards against a decider that takes agents as silent whose reports the store
// has, but a stale read does not show.
TEST_F(table_replica_test, ages_while_reads_are_stale)
{
    store.put(key("a"), "1");
    replica.start();
    timers.advance(10ms);
    store.keep_state_for_stale_reads();
    store.are_reads_stale = true;
    store.put(key("a"), "2");
    timers.advance(10ms);
    lose_history();
    timers.advance(3s);
    EXPECT_GT(replica.age(), 3s);
    store.are_reads_stale = false;
    timers.advance(1s);
    EXPECT_LT(replica.age(), 1s);
}

// Guards against missing a row that was written before the read began, but is
// lacking in a later page, since that page is stale.
TEST_F(table_replica_test, reads_no_page_older_than_the_first_one)
{
    store.put(key("a"), "1");
    store.keep_state_for_stale_reads();
    store.put(key("b"), "1");
    replica.start();
    store.are_reads_stale = true;
    timers.advance(5ms);
    store.are_reads_stale = false;
    timers.advance(2s);
    EXPECT_EQ(replica.rows().size(), 2U);
}

// Guards against taking rows as removed because a stale list of the parts lacks
// their part.
TEST_F(table_replica_test, keeps_rows_of_a_part_that_a_stale_list_lacks)
{
    store.put(key("a"), "1");
    store.keep_state_for_stale_reads();
    store.put({"jobs", "q", "b"}, "1");
    replica.start();
    timers.advance(10ms);
    observed.clear();
    store.are_part_lists_stale = true;
    lose_history();
    timers.advance(2s);
    EXPECT_EQ(observed, (std::vector<std::string>{"+c"}));
}

// Guards against an accepted job that stays unknown to an entry: the first list
// of parts that it reads is stale.
TEST_F(table_replica_test, reads_a_known_part_that_the_first_list_lacks)
{
    store.put(key("a"), "1");
    store.keep_state_for_stale_reads();
    store.put({"jobs", "known", "b"}, "1");
    store.are_part_lists_stale = true;
    replica.start();
    timers.advance(2s);
    EXPECT_EQ(observed, (std::vector<std::string>{"+b", "+a"}));
}

// Guards against reads in a busy loop, which use up the store's rate limits,
// while the reads are older than the history that the feed has.
TEST_F(table_replica_test, pauses_between_reads_that_the_feed_cannot_continue)
{
    store.put(key("a"), "1");
    store.keep_state_for_stale_reads();
    store.are_reads_stale = true;
    store.put(key("b"), "1");
    store.drop_history();
    replica.start();
    timers.advance(3s);
    EXPECT_LE(store.read_count, 40U);
    EXPECT_FALSE(replica.is_loaded());
    store.are_reads_stale = false;
    timers.advance(1s);
    EXPECT_TRUE(replica.is_loaded());
    EXPECT_EQ(replica.rows().size(), 2U);
}

// Guards against missing a row in a part that is created while the table is
// being read.
TEST_F(table_replica_test, reads_a_part_that_is_created_while_it_loads)
{
    replica.start();
    store.put(key("a"), "1");
    timers.advance(1ms);
    store.put({"jobs", "q", "b"}, "1");
    timers.advance(100ms);
    EXPECT_EQ(replica.rows().size(), 2U);
}

// Guards against treating the replica as current while the store does not
// respond.
TEST_F(table_replica_test, ages_while_the_store_does_not_respond)
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

// Rows are written while the change feed does not respond for a second.
TEST_F(table_replica_test, applies_an_announced_row_before_the_feed_delivers_it)
{
    replica.start();
    timers.advance(10ms);
    store.reads = memory_row_store::fault::silent;
    store.put(key("a"), "1");
    replica.apply_announced(*store.find(key("a")));
    EXPECT_EQ(replica.rows().size(), 1U);
    store.reads = memory_row_store::fault::none;
    timers.advance(2s);
    EXPECT_EQ(observed, (std::vector<std::string>{"+a"}));
}

// Guards against executing an order again because its announcement arrives
// after its removal.
TEST_F(table_replica_test, ignores_an_announced_row_that_was_removed)
{
    replica.start();
    store.put(key("a"), "1");
    auto const announced = *store.find(key("a"));
    store.commit({{}, {}, {key("a")}}, 100ms, [](auto const&) {});
    timers.advance(10ms);
    observed.clear();
    replica.apply_announced(announced);
    EXPECT_TRUE(observed.empty());
    EXPECT_TRUE(replica.rows().empty());
}

} // namespace
} // namespace sequoiaroute::rows
