#include "rows/monitored_store.hpp"
#include "support/manual_timers.hpp"

#include <gtest/gtest.h>

namespace sequoiaroute::rows {
namespace {

using namespace std::chrono_literals;

/// A store that answers reads only when the test says so.
class silent_store final : public row_store
{
public:
    void commit(transaction, core::duration,
                std::function<void(commit_result)>) override
    {
    }
    void read(range, std::function<void(page)> done) override
    {
        reads.push_back(std::move(done));
    }
    void list_parts(std::string const&, std::function<void(part_list)>) override
    {
    }
    void poll_feed(std::string const&, row_version, core::duration,
                   std::function<void(feed_page)>) override
    {
    }

    std::vector<std::function<void(page)>> reads;
};

class monitored_store_test : public testing::Test
{
public:
    monitored_store_test() : monitored(store, timers)
    {
        monitored.on_recovery([this] { ++recoveries; });
        monitored.read({}, [](page const&) {});
        timers.advance(2s);
    }

    support::manual_timers timers;
    silent_store store;
    monitored_store monitored;
    int recoveries = 0;
};

// Guards against an entry that notices the return of the store only once its
// last probe, which is still pending, has timed out.
TEST_F(monitored_store_test, probes_again_while_a_probe_is_pending)
{
    EXPECT_FALSE(monitored.is_reachable());
    ASSERT_GT(store.reads.size(), 2U);
    page answer;
    answer.is_ok = true;
    store.reads.back()(answer);
    EXPECT_TRUE(monitored.is_reachable());
    EXPECT_EQ(recoveries, 1);
    // The first call, which was lost, ends after the store's return.
    store.reads.front()({});
    EXPECT_TRUE(monitored.is_reachable());
}

// Guards against calls that pile up at a store that does not respond.
TEST_F(monitored_store_test, limits_the_pending_probes)
{
    timers.advance(60s);
    EXPECT_LE(store.reads.size(), 6U);
}

} // namespace
} // namespace sequoiaroute::rows
