#include "support/decider_fixture.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiaroute::decider {
namespace {

using namespace std::chrono_literals;
using policy::job_state;

using decisions = support::decider_fixture;

// Guards against a job that fails on every worker and is tried for ever, and
// against a worker that is blamed for it.
TEST_F(decisions, job_that_fails_on_three_workers_fails_everywhere)
{
    for (auto& [id, agent] : world.agents.agents)
        agent.fails = true;
    submit("bad");
    entry.run(4s);
    auto const record = world.record("bad");
    EXPECT_EQ(record.state, job_state::fails_everywhere);
    EXPECT_THAT(record.failed_workers,
                testing::UnorderedElementsAre("w0", "w1", "w2"));
    EXPECT_TRUE(entry.process().dump()["quarantined"].empty());
}

// Guards against an eviction that loses the work done so far, gives no time
// for a checkpoint, or ends an unrepeatable job for good.
TEST_F(decisions, eviction_keeps_the_checkpoint_and_queues_the_job_again)
{
    never_finish();
    submit("gang", 2);
    submit("once", 1, true);
    entry.run(1s);
    entry.policy().evictions = {{"gang", {}, "owner"}, {"once", {}, "owner"}};
    entry.run(400ms);
    auto const record = world.record("gang");
    EXPECT_THAT(record.checkpoints, testing::Each("checkpoint"));
    EXPECT_EQ(record.checkpoints.size(), 2U);
    ASSERT_EQ(world.agents.stops.size(), 2U);
    EXPECT_EQ(world.agents.stops[0].grace_ms, 5000);
    entry.run(1s);
    EXPECT_EQ(world.record("gang").attempt, 2U);
    EXPECT_EQ(world.record("gang").state, job_state::running);
    EXPECT_EQ(world.record("once").state, job_state::running);
    EXPECT_EQ(world.agents.overlaps, 0);
}

// Guards against a job rejected by a decider that knows only a part of the
// fleet, and against one that can never run and is never rejected.
TEST_F(decisions, rejects_a_job_only_after_patience)
{
    submit("wide", 30);
    entry.run(50s);
    EXPECT_EQ(world.record("wide").state, job_state::queued);
    EXPECT_THAT(entry.process().note("wide"),
                testing::HasSubstr("it cannot run now"));
    entry.run(15s);
    EXPECT_EQ(world.record("wide").state, job_state::rejected);
}

// Guards against a worker that fails every task and goes on receiving work.
TEST_F(decisions, worker_that_fails_every_task_is_quarantined)
{
    world.agents.agents["w0"].fails = true;
    for (auto const* const id : {"one", "two", "three"}) {
        auto submission = world.submission(id);
        submission.kind = id;
        ASSERT_TRUE(core::is_ok(world.jobs().submit(submission)));
        entry.process().handle_change(id);
    }
    entry.run(2s);
    EXPECT_EQ(entry.process().dump()["quarantined"], core::json::array({"w0"}));
    for (auto const* const id : {"one", "two", "three"})
        expect_finished_once(id);
    world.agents.agents["w0"].fails = false;
    submit("four");
    entry.run(1s);
    EXPECT_EQ(world.record("four").placed[0].worker_id, "w1");
}

} // namespace
} // namespace sequoiaroute::decider
